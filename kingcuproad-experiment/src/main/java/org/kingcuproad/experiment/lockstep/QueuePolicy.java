package org.kingcuproad.experiment.lockstep;

import java.util.List;
import java.util.OptionalDouble;
import org.kingcuproad.policy.gateway.QueueAdmissionDecision;
import org.kingcuproad.policy.gateway.RequestQueue;
import org.kingcuproad.policy.gateway.ServiceStatistics;
import org.kingcuproad.policy.scarcity.ScarcityScheduler.Refusal;

/** Orders the requests that wait at one simulated gateway and decides which of them are refused. */
interface QueuePolicy {

    /** Records an arrival. */
    default void onArrival(SimulatedStream stream, long nowMs) {}

    /** Records that a request was started or refused. */
    default void onDecided(SimulatedStream stream, boolean started, long nowMs) {}

    /** Returns the requests that are refused when a request has been queued. */
    List<Refusal<SimulatedStream>> overdue(SimulatedStream newcomer, ServiceStatistics statistics, long nowMs);

    /** Returns the decision for a request that starts after a number of others. */
    static QueueAdmissionDecision decide(SimulatedStream stream, int before, ServiceStatistics statistics, long nowMs) {
        return QueueAdmissionDecision.of(stream.waiting(), before + 1, statistics, OptionalDouble.empty(), nowMs);
    }

    /** Creates the policy of a gateway. */
    static QueuePolicy of(LockstepPolicy policy, RequestQueue<SimulatedStream> queue) {
        return switch (policy) {
            case CURRENT, FIRST_COME -> new NewcomerPolicy(queue);
            case SCARCITY -> new ScarcityPolicy(queue);
            case ARRIVAL, STRICT_PRIORITY, AGEING, DEADLINES, VALUE_PER_WORK, WORKSPACE_SHARES ->
                new OrderedPolicy(queue, policy);
        };
    }
}
