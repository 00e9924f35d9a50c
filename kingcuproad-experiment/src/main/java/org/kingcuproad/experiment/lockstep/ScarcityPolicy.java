package org.kingcuproad.experiment.lockstep;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.kingcuproad.policy.gateway.RequestQueue;
import org.kingcuproad.policy.gateway.ServiceStatistics;
import org.kingcuproad.policy.scarcity.ScarcityScheduler;
import org.kingcuproad.policy.scarcity.ScarcityScheduler.Refusal;

/** The decision for services with different priorities. */
final class ScarcityPolicy implements QueuePolicy {

    private final RequestQueue<SimulatedStream> queue;
    private final ScarcityScheduler<SimulatedStream> scheduler =
            new ScarcityScheduler<>(SimulatedStream::scarceRequest);

    ScarcityPolicy(RequestQueue<SimulatedStream> queue) {
        this.queue = queue;
        queue.setOrder(Optional.of(scheduler::startOrder));
    }

    @Override
    public void onArrival(SimulatedStream stream, long nowMs) {
        CallerKind kind = stream.kind();
        stream.setLargeAtGateway(scheduler.onArrival(kind.name(), stream.workTokens(), kind.priority(), nowMs));
    }

    @Override
    public void onDecided(SimulatedStream stream, boolean started, long nowMs) {
        scheduler.onDecided(stream.scarceRequest().traits(), started, nowMs);
    }

    @Override
    public List<Refusal<SimulatedStream>> overdue(SimulatedStream newcomer, ServiceStatistics statistics, long nowMs) {
        return scheduler.overdue(queue, statistics, OptionalDouble.empty(), nowMs);
    }
}
