package org.kingcuproad.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.kingcuproad.model.ModelGroup;

/** Guards against maps that leave an expert without a replica or assign more experts to a rank than it has slots. */
class ExpertMapTest {

    private static final ModelGroup GROUP = ControllerHarness.group(2, 1, 3, 2);

    @Test
    void rejectsMapWithoutReplicaOfAnExpert() {
        assertThatIllegalArgumentException()
                .isThrownBy(() -> ExpertMap.of(GROUP, 1, new int[][] {{0, 0, 1, 1}}))
                .withMessageContaining("no replica of expert 2");
    }

    @Test
    void rejectsMoreEntriesThanSlots() {
        assertThatIllegalArgumentException()
                .isThrownBy(() -> ExpertMap.of(GROUP, 1, new int[][] {{0, 1, 2, 0, 1}}))
                .withMessageContaining("has 5 slots, not 4");
    }

    @Test
    void movesCreateNewVersionAndLeaveOriginalUnchanged() {
        ExpertMap map = ExpertMap.roundRobin(GROUP);
        ExpertMap next = map.withMoves(List.of(new SlotMove(0, 3, 2)));
        assertThat(next.version()).isEqualTo(map.version() + 1);
        assertThat(next.replicas(0)).containsExactly(1, 1, 2);
        assertThat(map.replicas(0)).containsExactly(2, 1, 1);
    }

    @Test
    void splitsLoadEvenlyOverReplicasAndScalesTimeBySlowness() {
        ExpertMap map = ExpertMap.roundRobin(GROUP);
        double[] times = map.rankTimes(0, new double[] {4, 1, 3}, new double[] {1, 2});
        assertThat(times).containsExactly(3, 10);
    }
}
