package org.kingcuproad.experiment.lockstep;

import java.util.List;
import org.kingcuproad.policy.gateway.QueueAdmissionDecision;
import org.kingcuproad.policy.gateway.RequestQueue;
import org.kingcuproad.policy.gateway.ServiceStatistics;
import org.kingcuproad.policy.scarcity.ScarcityScheduler.Refusal;

/** The decision for services with a single priority: the newcomer is refused if the whole queue delays it too much. */
record NewcomerPolicy(RequestQueue<SimulatedStream> queue) implements QueuePolicy {

    @Override
    public List<Refusal<SimulatedStream>> overdue(SimulatedStream newcomer, ServiceStatistics statistics, long nowMs) {
        QueueAdmissionDecision decision = QueuePolicy.decide(newcomer, queue.size() - 1, statistics, nowMs);
        return newcomer.rank() < 0 && decision.refused()
                ? List.of(new Refusal<>(newcomer, decision.expectedWaitMs()))
                : List.of();
    }
}
