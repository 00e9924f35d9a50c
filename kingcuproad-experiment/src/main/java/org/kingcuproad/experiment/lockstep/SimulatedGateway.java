package org.kingcuproad.experiment.lockstep;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.stream.IntStream;
import org.kingcuproad.policy.gateway.LeastCostSelector;
import org.kingcuproad.policy.gateway.RequestQueue;
import org.kingcuproad.policy.gateway.RetryAfter;
import org.kingcuproad.policy.gateway.ServiceStatistics;
import org.kingcuproad.policy.gateway.UpstreamCandidate;

/** A gateway that sends streams to ranks by the decisions under test. */
final class SimulatedGateway {

    /** Longest time without an event after which a caller leaves, from the users' sheet. */
    static final double PATIENCE_MS = 2_000;

    private static final long CLIENT_LIMIT_MS = 8_000;

    private final EngineModel model;
    private final LockstepPolicy policy;
    private final Random random;
    private final int[] own;
    private final double[] ownUnread;
    private final RequestQueue<SimulatedStream> queue = new RequestQueue<>(SimulatedStream::waiting);
    private final QueuePolicy queuePolicy;
    private final List<SimulatedStream> unsorted = new ArrayList<>();
    private final ServiceStatistics pace = new ServiceStatistics();
    private int usableRanks;
    private int rotation;

    SimulatedGateway(EngineModel model, LockstepPolicy policy, Random random) {
        this.model = model;
        this.policy = policy;
        this.random = random;
        this.queuePolicy = QueuePolicy.of(policy, queue);
        this.usableRanks = model.ranks();
        this.own = new int[model.ranks()];
        this.ownUnread = new double[model.ranks()];
    }

    int inFlight(int rank) {
        return own[rank];
    }

    double unreadTokens(int rank) {
        return ownUnread[rank];
    }

    /** Sends no more requests to the last engines. */
    void loseRanks(int lost) {
        usableRanks = model.ranks() - lost;
    }

    ServiceStatistics pace() {
        return pace;
    }

    /** What a gateway does with a request that it gets or that waits. */
    sealed interface Step {

        /** It goes to its rank. */
        record Started(SimulatedStream stream) implements Step {}

        /** It is refused; the caller comes back after a pause. */
        record Refused(SimulatedStream stream, long retryAfterMs) implements Step {}
    }

    /** Takes a request. */
    List<Step> submit(SimulatedStream stream, int[] told, double[] toldUnread, long nowMs) {
        if (policy == LockstepPolicy.FIRST_COME) {
            unsorted.add(stream);
            return pump(told, toldUnread, nowMs);
        }
        queuePolicy.onArrival(stream, nowMs);
        queue.add(stream);
        List<Step> steps = new ArrayList<>(pump(told, toldUnread, nowMs));
        if (stream.rank() < 0) {
            queuePolicy.overdue(stream, pace, nowMs).stream()
                    .filter(refusal -> queue.remove(refusal.request()))
                    .forEach(refusal -> steps.add(refuse(refusal.request(), nowMs)));
        }
        return steps;
    }

    private Step refuse(SimulatedStream stream, long nowMs) {
        queuePolicy.onDecided(stream, false, nowMs);
        long leftMs = stream.arrivedMs() + CLIENT_LIMIT_MS - nowMs;
        return new Step.Refused(stream, RetryAfter.of(queue.size(), pace, leftMs, random.nextDouble(), nowMs));
    }

    /** Starts waiting requests as long as there is room, and refuses those that wait in vain. */
    List<Step> pump(int[] told, double[] toldUnread, long nowMs) {
        List<Step> steps = new ArrayList<>();
        if (policy == LockstepPolicy.FIRST_COME) {
            while (!unsorted.isEmpty()) {
                SimulatedStream stream = unsorted.removeFirst();
                int rank = IntStream.range(0, usableRanks)
                        .boxed()
                        .min(java.util.Comparator.comparingInt(at -> own[at]))
                        .orElseThrow();
                start(stream, rank, nowMs);
                steps.add(new Step.Started(stream));
            }
            return steps;
        }
        queue.removeExpired(nowMs).forEach(stream -> steps.add(refuse(stream, nowMs)));
        while (queue.size() > 0) {
            Optional<SimulatedStream> next = queue.poll(pace.timeToFirstResponseMs(), nowMs);
            OptionalInt rank = LeastCostSelector.select(candidates(told, toldUnread), true, rotation++);
            if (next.isEmpty() || rank.isEmpty()) {
                next.ifPresent(queue::add);
                return steps;
            }
            start(next.get(), rank.getAsInt(), nowMs);
            steps.add(new Step.Started(next.get()));
        }
        return steps;
    }

    private List<UpstreamCandidate> candidates(int[] told, double[] toldUnread) {
        return IntStream.range(0, own.length)
                .mapToObj(rank -> new UpstreamCandidate(
                        own[rank] + told[rank],
                        model.slots(),
                        ownUnread[rank] + toldUnread[rank],
                        0,
                        0,
                        1,
                        false,
                        rank < usableRanks))
                .toList();
    }

    private void start(SimulatedStream stream, int rank, long nowMs) {
        queuePolicy.onDecided(stream, true, nowMs);
        stream.start(rank, nowMs);
        own[rank]++;
        ownUnread[rank] += stream.promptTokens();
    }

    void onFirstEvent(SimulatedStream stream, long nowMs) {
        ownUnread[stream.rank()] -= stream.promptTokens();
        pace.onResponseStarted(nowMs - stream.sentMs(), nowMs);
    }

    void onEnd(SimulatedStream stream, long nowMs) {
        own[stream.rank()]--;
        if (!stream.begun()) {
            ownUnread[stream.rank()] -= stream.promptTokens();
        }
        pace.onSlotReleased(nowMs);
    }

    /** Forgets a request whose caller left before it was started. */
    void forget(SimulatedStream stream) {
        queue.remove(stream);
        unsorted.remove(stream);
    }
}
