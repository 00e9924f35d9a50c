package org.kingcuproad.policy.mapswitch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kingcuproad.policy.Explorer;

/** Guards against any order of messages and one crash that lets a step run with two maps. */
class RankSwitchModelTest {

    private static final SwitchId FIRST = new SwitchId(2, 1);
    private static final SwitchId OTHER = new SwitchId(3, 1);

    @Test
    void twoRanksTwoCoordinators() {
        report(
                "2 ranks, 2 coordinators, same switch, no crash",
                Explorer.search(GroupWorld.of(2, List.of(FIRST, FIRST), 0, GroupWorld.Weakness.NONE), 10_000));
        report(
                "2 ranks, 2 coordinators, other switch, no crash",
                Explorer.search(GroupWorld.of(2, List.of(FIRST, OTHER), 0, GroupWorld.Weakness.NONE), 10_000));
    }

    @Test
    void crash() {
        report(
                "2 ranks, 1 coordinator, 1 crash",
                Explorer.search(GroupWorld.of(2, List.of(FIRST), 1, GroupWorld.Weakness.NONE), 90_000));
        report(
                "2 ranks, 2 coordinators, 1 crash",
                Explorer.search(GroupWorld.of(2, List.of(FIRST, FIRST), 1, GroupWorld.Weakness.NONE), 10_000));
        report(
                "3 ranks, 1 coordinator, 1 crash",
                Explorer.search(GroupWorld.of(3, List.of(FIRST), 1, GroupWorld.Weakness.NONE), 10_000));
    }

    private static void report(String name, Explorer.Result result) {
        System.out.println("figure " + name + ": " + result);
        assertThat(result.violation()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"PROMISE_AFTER_QUERY, 0", "PROMISE_WITHOUT_HOLD, 0", "RESTART_WITHOUT_JOINING, 1"})
    void theSearchFindsWhatEachMechanismPrevents(GroupWorld.Weakness weakness, int crashes) {
        Explorer.Result result = Explorer.search(GroupWorld.of(2, List.of(FIRST), crashes, weakness), 10_000);
        System.out.println("figure " + weakness + ": " + result);
        assertThat(result.violation()).isPresent();
    }
}
