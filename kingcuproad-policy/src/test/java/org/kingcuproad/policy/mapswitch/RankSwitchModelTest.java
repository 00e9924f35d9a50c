package org.kingcuproad.policy.mapswitch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.kingcuproad.policy.ModelChecker;

/**
 * Guards against two maps in one step, which could result from any order of messages together with at most one crash.
 */
class RankSwitchModelTest {

    private static final SwitchId FIRST = new SwitchId(2, 1);
    private static final SwitchId OTHER = new SwitchId(3, 1);

    @Test
    void twoCoordinatorsWithoutCrash() {
        report(
                "2 ranks, 2 coordinators, same switch, no crash",
                ModelChecker.search(
                        RankGroupModel.of(2, List.of(FIRST, FIRST), 0, RankGroupModel.Mutation.NONE), 10_000));
        report(
                "2 ranks, 2 coordinators, other switch, no crash",
                ModelChecker.search(
                        RankGroupModel.of(2, List.of(FIRST, OTHER), 0, RankGroupModel.Mutation.NONE), 10_000));
    }

    @Test
    void oneCrash() {
        report(
                "2 ranks, 1 coordinator, 1 crash",
                ModelChecker.search(RankGroupModel.of(2, List.of(FIRST), 1, RankGroupModel.Mutation.NONE), 90_000));
        report(
                "2 ranks, 2 coordinators, 1 crash",
                ModelChecker.search(
                        RankGroupModel.of(2, List.of(FIRST, FIRST), 1, RankGroupModel.Mutation.NONE), 10_000));
        report(
                "3 ranks, 1 coordinator, 1 crash",
                ModelChecker.search(RankGroupModel.of(3, List.of(FIRST), 1, RankGroupModel.Mutation.NONE), 10_000));
    }

    private static void report(String name, ModelChecker.Result result) {
        System.out.println("figure " + name + ": " + result);
        assertThat(result.violation()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"PROMISE_AFTER_QUERY, 0", "PROMISE_WITHOUT_HOLD, 0", "RESTART_WITHOUT_JOINING, 1"})
    void searchDetectsEachDisabledMechanism(RankGroupModel.Mutation mutation, int crashes) {
        ModelChecker.Result result =
                ModelChecker.search(RankGroupModel.of(2, List.of(FIRST), crashes, mutation), 10_000);
        System.out.println("figure " + mutation + ": " + result);
        assertThat(result.violation()).isPresent();
    }
}
