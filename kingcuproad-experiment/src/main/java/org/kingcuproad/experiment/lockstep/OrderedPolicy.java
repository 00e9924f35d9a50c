package org.kingcuproad.experiment.lockstep;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.kingcuproad.policy.gateway.QueueAdmissionDecision;
import org.kingcuproad.policy.gateway.RequestQueue;
import org.kingcuproad.policy.gateway.ServiceStatistics;
import org.kingcuproad.policy.scarcity.ScarcityScheduler.Refusal;

/** Orders that were evaluated and are not in use; the wait of a request counts those that start before it. */
final class OrderedPolicy implements QueuePolicy {

    /** Waiting this long is worth one step of priority: about the goal of the most urgent kind. */
    private static final double AGEING_MS = 400;

    private static final double LATE_WORTH = 0.4;

    private final RequestQueue<SimulatedStream> queue;
    private final Map<String, Double> servedTokens = new HashMap<>();

    OrderedPolicy(RequestQueue<SimulatedStream> queue, LockstepPolicy policy) {
        this.queue = queue;
        queue.setOrder(Optional.of((timeToFirstResponseMs, nowMs) -> order(policy, nowMs + timeToFirstResponseMs)));
    }

    private Comparator<SimulatedStream> order(LockstepPolicy policy, double expectedMs) {
        Comparator<SimulatedStream> byGoal =
                Comparator.comparingLong(stream -> stream.waiting().goalDeadlineMs());
        Comparator<SimulatedStream> onTimeFirst = Comparator.<SimulatedStream>comparingInt(
                        stream -> onTime(stream, expectedMs) ? 0 : 1)
                .thenComparing(byGoal);
        return switch (policy) {
            case ARRIVAL -> Comparator.comparingLong(SimulatedStream::arrivedMs);
            case STRICT_PRIORITY ->
                Comparator.<SimulatedStream>comparingInt(stream -> stream.kind().priority())
                        .thenComparing(onTimeFirst);
            case AGEING ->
                Comparator.comparingDouble(
                        stream -> stream.kind().priority() - (expectedMs - stream.firstArrivedMs()) / AGEING_MS);
            case VALUE_PER_WORK ->
                Comparator.comparingDouble(stream ->
                        -stream.kind().value() * (onTime(stream, expectedMs) ? 1 : LATE_WORTH) / stream.workTokens());
            case WORKSPACE_SHARES ->
                Comparator.<SimulatedStream>comparingDouble(
                                stream -> servedTokens.getOrDefault(stream.workspace(), 0.0))
                        .thenComparing(onTimeFirst);
            default -> onTimeFirst;
        };
    }

    private static boolean onTime(SimulatedStream stream, double expectedMs) {
        return stream.waiting().goalDeadlineMs() >= expectedMs;
    }

    @Override
    public void onDecided(SimulatedStream stream, boolean started, long nowMs) {
        if (started) {
            servedTokens.merge(stream.workspace(), stream.workTokens(), Double::sum);
        }
    }

    @Override
    public List<Refusal<SimulatedStream>> overdue(SimulatedStream newcomer, ServiceStatistics statistics, long nowMs) {
        List<Refusal<SimulatedStream>> overdue = new ArrayList<>();
        int before = 0;
        for (SimulatedStream queued : queue.ordered(statistics.timeToFirstResponseMs(), nowMs)) {
            QueueAdmissionDecision decision = QueuePolicy.decide(queued, before, statistics, nowMs);
            if (decision.refused()) {
                overdue.add(new Refusal<>(queued, decision.expectedWaitMs()));
            } else {
                before++;
            }
        }
        return overdue;
    }
}
