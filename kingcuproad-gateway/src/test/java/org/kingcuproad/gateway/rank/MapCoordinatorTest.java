package org.kingcuproad.gateway.rank;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.kingcuproad.gateway.ProcessMetrics;
import org.kingcuproad.policy.lockstep.ChoiceSample;
import org.kingcuproad.policy.lockstep.ExpertCosts;
import org.kingcuproad.policy.lockstep.GroupShape;
import org.kingcuproad.policy.lockstep.RankState;
import org.kingcuproad.runtime.log.DecisionLog;
import org.kingcuproad.runtime.log.LineSink;

/**
 * Guards against a group that stays on an uneven map for seconds because one plan took long, or a rank was silent when
 * it was ready.
 */
class MapCoordinatorTest {

    private static final GroupShape SHAPE = new GroupShape(1, 4, 4, 2, new ExpertCosts(1, 180_000, 0.85));

    private final MapCoordinator coordinator = new MapCoordinator(
            2,
            0,
            SHAPE,
            120,
            new DecisionLog(new LineSink(java.io.OutputStream.nullOutputStream()), System::currentTimeMillis),
            new ProcessMetrics());

    private static RankState state(int rank, long step, long nowMs) {
        return new RankState(rank, 1, true, step, 0, RankState.NONE, RankState.NONE, RankState.NONE, nowMs);
    }

    private void report(long step, long nowMs) {
        coordinator.onState(state(0, step, nowMs), 1);
        coordinator.onState(state(1, step, nowMs), 1);
    }

    /** Both popular experts are on rank 0. Both ranks send a sample, since one alone does not show its accuracy. */
    private void chooseUnevenly(long nowMs) {
        for (int rank = 0; rank < 2; rank++) {
            coordinator.onChoices(new ChoiceSample(4, 14, 8, new byte[] {100, 0, 100, 0}), nowMs);
        }
    }

    private void coordinate(long step, long nowMs) {
        coordinator.nextActions(state(0, step, nowMs), nowMs);
    }

    @Test
    void plansAgainSoonIfARankWasSilentWhenThePlanWasReady() {
        report(0, 0);
        coordinator.onHeldExperts(0, new RankExperts(1, 0, new int[][] {{0, 2}}));
        coordinator.onHeldExperts(1, new RankExperts(1, 0, new int[][] {{1, 3}}));
        report(20, 1_000);
        chooseUnevenly(1_000);
        coordinate(20, 1_000);
        assertThat(coordinator.planning()).as("plan in progress").isTrue();

        coordinate(20, 1_900);
        assertThat(coordinator.planning()).as("plan in progress").isFalse();
        assertThat(coordinator.changeInProgress())
                .as("change while rank 1 was silent for 900 ms")
                .isFalse();

        report(40, 2_100);
        chooseUnevenly(2_100);
        coordinate(40, 2_100);
        coordinate(40, 2_110);
        assertThat(coordinator.changeInProgress())
                .as("change 200 ms after the plan that was dropped")
                .isTrue();
    }
}
