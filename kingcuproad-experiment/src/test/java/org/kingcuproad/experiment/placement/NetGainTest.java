package org.kingcuproad.experiment.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a planner that costs more steps than it saves, and against results that vary between runs. */
class NetGainTest {

    private static final long DAY_MS = 24 * 3_600_000L;
    private static final List<PolicyKind> POLICIES =
            List.of(PolicyKind.STATIC, PolicyKind.PLANNER_AUTHORITY, PolicyKind.PLANNER_WIERZBICKI);

    @ParameterizedTest
    @EnumSource(InputKind.class)
    void stepsSavedCoverStepsLost(InputKind input) {
        for (long seed = 1; seed <= 3; seed++) {
            PlacementReport report = run(input, seed);
            double still = report.find(PolicyKind.STATIC).orElseThrow().steps();
            assertThat(report.results())
                    .as("seed %d", seed)
                    .allSatisfy(result -> assertThat(result.steps() - still).isNotNegative());
        }
    }

    @ParameterizedTest
    @EnumSource(InputKind.class)
    void theSameSeedGivesTheSameLines(InputKind input) {
        assertThat(run(input, 7).lines()).isEqualTo(run(input, 7).lines());
    }

    private static PlacementReport run(InputKind input, long seed) {
        return new PlacementExperiment(seed, DAY_MS)
                .compare(GroupSize.TODAY, input, POLICIES)
                .getFirst();
    }
}
