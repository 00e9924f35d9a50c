package org.kingcuproad.experiment.lockstep;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards, for each load above capacity, against kinds, workspaces and sizes that get less than callers require. */
class ScarcityTest {

    private static final long SEED = 1;

    /** A less urgent kind may be served this much more often than a more urgent one. */
    private static final double SERVED_TOLERANCE = 0.05;

    /** A less urgent kind may earn this much larger a share than a more urgent one. */
    private static final double EARNED_TOLERANCE = 0.15;

    private static CallerReport run(LockstepPolicy policy, ScarcityLoad load) {
        return LockstepSimulation.report(EngineModel.LARGE_GROUP, policy, load.load(), SEED);
    }

    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SINGLE_PRIORITY")
    void servesUrgentKindsNoLessThanOthers(ScarcityLoad load) {
        CallerReport report = run(LockstepPolicy.SCARCITY, load);
        for (String[] pair : new String[][] {{"p0", "p1"}, {"p0", "p2"}, {"p1", "p2"}}) {
            CallerTally urgent = report.of(pair[0]);
            CallerTally other = report.of(pair[1]);
            assertThat(other.servedShare()).isLessThanOrEqualTo(urgent.servedShare() + SERVED_TOLERANCE);
            assertThat(other.earnedShare()).isLessThanOrEqualTo(urgent.earnedShare() + EARNED_TOLERANCE);
        }
    }

    @ParameterizedTest
    @EnumSource
    void letsNoKindWorkspaceOrSizeStarve(ScarcityLoad load) {
        CallerReport report = run(LockstepPolicy.SCARCITY, load);
        double servedShare = report.of(CallerReport.ALL).servedShare();
        for (String group : report.groups()) {
            double floor = group.startsWith("large ")
                    ? report.of(group.substring("large ".length())).servedShare() / 2
                    : servedShare / 4;
            assertThat(report.of(group).servedShare()).as(group).isGreaterThanOrEqualTo(floor);
        }
    }

    /** A loss of up to 2 in 100 is within the differences between seeds. */
    @ParameterizedTest
    @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "SINGLE_PRIORITY")
    void earnsNoLessCreditThanTheFormerDecision(ScarcityLoad load) {
        double credit = run(LockstepPolicy.SCARCITY, load).of(CallerReport.ALL).credit();
        assertThat(credit)
                .isGreaterThan(0.98
                        * run(LockstepPolicy.CURRENT, load).of(CallerReport.ALL).credit());
    }
}
