package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Guards against letting requests wait that can't be started in time, and against refusing those that can. */
class QueueAdmissionDecisionTest {

    private static final long NOW_MS = 10_000;

    private final ServiceStatistics statistics = new ServiceStatistics();

    private QueueAdmissionDecision decide(int queueLength, OptionalDouble acceptedPerSecond) {
        SchedulingAttributes request = new SchedulingAttributes(NOW_MS, NOW_MS + 400, NOW_MS + 1_000, 1);
        return QueueAdmissionDecision.of(request, queueLength, statistics, acceptedPerSecond, NOW_MS);
    }

    /** Releases a slot every 10 ms, as a service does that has not been limited yet. */
    private void releaseSlots() {
        for (int index = 0; index < 100; index++) {
            statistics.onSlotReleased(NOW_MS - 1_000 + index * 10);
        }
    }

    @Test
    void admitsWhatTheStatisticsAllowIfAnUpstreamHasNoLimit() {
        releaseSlots();
        assertThat(decide(20, OptionalDouble.empty()).refused()).isFalse();
    }

    /** Guards against a queue that grows because the statistics still show the rate of before the limits. */
    @Test
    void refusesAtOnceWhatTheLimitsOfAllUpstreamsCannotServeInTime() {
        releaseSlots();
        QueueAdmissionDecision decision = decide(20, OptionalDouble.of(8));
        assertThat(decision.refused()).isTrue();
        assertThat(decision.expectedWaitMs()).isEqualTo(2_500);
        assertThat(decide(7, OptionalDouble.of(8)).refused()).isFalse();
    }

    @Test
    void refusesIfNothingIsAccepted() {
        assertThat(decide(1, OptionalDouble.of(0)).refused()).isTrue();
    }
}
