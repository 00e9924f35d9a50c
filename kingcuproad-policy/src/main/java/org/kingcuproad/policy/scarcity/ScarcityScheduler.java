package org.kingcuproad.policy.scarcity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Function;
import org.kingcuproad.policy.gateway.QueueAdmissionDecision;
import org.kingcuproad.policy.gateway.RequestQueue;
import org.kingcuproad.policy.gateway.ServiceStatistics;

/**
 * Decides which requests of a service with different priorities start first, and which are refused.
 *
 * <p>Answers loads above capacity: the wait of a request counts only the requests that start before it, and the refused
 * ones are those at the end of the order, whether they have just arrived or were queued before.
 *
 * @param <T> type of the requests
 */
public final class ScarcityScheduler<T> {

    private static final int INTERVAL_SAMPLE_SLOTS = 1_000;

    private final Function<T, ScarceRequest> view;
    private final ServiceFloors floors = new ServiceFloors();
    private final UrgentDemand demand = new UrgentDemand();
    private final Map<String, LargeWork> works = new HashMap<>();

    /**
     * A queued request that is refused now.
     *
     * @param <T> type of the requests
     * @param request the request
     * @param expectedWaitMs expected time until it would have started, in milliseconds
     */
    public record Refusal<T>(T request, long expectedWaitMs) {}

    /**
     * Creates a scheduler.
     *
     * @param view returns what the decisions need to know of a request
     */
    public ScarcityScheduler(Function<T, ScarceRequest> view) {
        this.view = view;
    }

    /**
     * Records the arrival of a request.
     *
     * @param kind name of its route
     * @param workTokens prompt tokens and expected output tokens, 0 if unknown
     * @param priority its priority, 0 is the highest
     * @param nowMs current time, in milliseconds
     * @return whether the request is among the tenth of its kind with the most work
     */
    public boolean onArrival(String kind, double workTokens, int priority, long nowMs) {
        demand.onArrival(priority, nowMs);
        return works.computeIfAbsent(kind, unused -> new LargeWork()).add(workTokens);
    }

    /**
     * Records that a request was sent to an upstream for the first time, or refused.
     *
     * @param traits what the request belongs to
     * @param served whether it was sent
     * @param nowMs current time, in milliseconds
     */
    public void onDecided(RequestTraits traits, boolean served, long nowMs) {
        floors.onDecided(traits, served, nowMs);
    }

    /**
     * Returns the order in which requests start: streams to be resumed, requests whose kind, workspace or size is
     * served too rarely, and then by priority. Among equals those that can be on time come first, by goal deadline and
     * by work.
     *
     * @param timeToFirstResponseMs expected time from sending a request to the first part of its response, in
     *     milliseconds
     * @param nowMs current time, in milliseconds
     * @return the order
     */
    public Comparator<T> startOrder(double timeToFirstResponseMs, long nowMs) {
        return Comparator.comparing(view, startOrderOfViews(timeToFirstResponseMs, nowMs));
    }

    private Comparator<ScarceRequest> startOrderOfViews(double timeToFirstResponseMs, long nowMs) {
        return Comparator.<ScarceRequest>comparingInt(request -> rank(request, nowMs))
                .thenComparingInt(
                        request -> request.scheduling().goalDeadlineMs() >= nowMs + timeToFirstResponseMs ? 0 : 1)
                .thenComparingLong(request -> request.scheduling().goalDeadlineMs())
                .thenComparingDouble(request -> request.traits().workTokens());
    }

    private int rank(ScarceRequest request, long nowMs) {
        return request.resumed() || floors.below(request.traits(), nowMs)
                ? -1
                : request.scheduling().priority();
    }

    /**
     * Returns the queued requests that are expected to start too late.
     *
     * @param queue the queue, from which the caller removes them
     * @param statistics statistics of the service
     * @param acceptedPerSecond requests a second that all upstreams together accept, or empty if one has no limit
     * @param nowMs current time, in milliseconds
     * @return the requests
     */
    public List<Refusal<T>> overdue(
            RequestQueue<T> queue, ServiceStatistics statistics, OptionalDouble acceptedPerSecond, long nowMs) {
        double slotIntervalMs = (double) statistics.expectedWaitMs(INTERVAL_SAMPLE_SLOTS) / INTERVAL_SAMPLE_SLOTS;
        List<Refusal<T>> overdue = new ArrayList<>();
        int before = 0;
        for (T queued : queue.ordered(statistics.timeToFirstResponseMs(), nowMs)) {
            ScarceRequest request = view.apply(queued);
            double freeShare = demand.freeShare(rank(request, nowMs), slotIntervalMs, nowMs);
            QueueAdmissionDecision decision = QueueAdmissionDecision.of(
                    request.scheduling(),
                    (int) Math.ceil((before + 1) / freeShare),
                    statistics,
                    acceptedPerSecond,
                    nowMs);
            if (decision.refused() && request.refusable()) {
                overdue.add(new Refusal<>(queued, decision.expectedWaitMs()));
            } else {
                before++;
            }
        }
        return overdue;
    }
}
