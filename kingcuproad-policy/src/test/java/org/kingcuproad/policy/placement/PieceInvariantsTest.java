package org.kingcuproad.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.kingcuproad.model.ModelGroup;

/** Guards against pieces that lose an expert, overfill a rank or exceed the weight store's rate. */
class PieceInvariantsTest {

    @Property(tries = 40)
    void everyPieceLeavesAValidMapWithinTheRate(
            @ForAll @IntRange(min = 2, max = 6) int ranks,
            @ForAll @IntRange(min = 1, max = 4) int slots,
            @ForAll @IntRange(min = 1, max = 3) int layers,
            @ForAll @IntRange(min = 0, max = 6) int spare,
            @ForAll @IntRange(min = 0, max = 1000) int seed) {
        int experts = Math.max(1, ranks * slots - spare);
        ModelGroup group = ControllerHarness.group(ranks, layers, experts, slots);
        ControllerHarness harness =
                new ControllerHarness(group, seed, 0.05, new PlacementTuning(0.1, 0.6, 2, 60, 200, 180, 0.01, 2));
        for (int shift = 0; shift < 3; shift++) {
            harness.run(30, ControllerHarness.load(group, shift + seed), ControllerHarness.evenSpeed(group), 0.2);
        }
        harness.pieces.forEach(piece -> check(group, piece));
    }

    private static void check(ModelGroup group, MapPiece piece) {
        for (int layer = 0; layer < group.layers(); layer++) {
            int[] slots = piece.next().layer(layer);
            assertThat(slots).hasSize(group.ranks() * group.slotsPerRank());
            assertThat(Arrays.stream(slots).distinct().count()).isEqualTo(group.expertsPerLayer());
        }
        long loadMs = piece.earliestSwitchMs() - piece.startedAtMs();
        assertThat(piece.bytes()).isEqualTo(piece.moves().size() * ControllerHarness.SETTINGS.expertBytes());
        assertThat(piece.bytes() * 1000)
                .isPositive()
                .isLessThanOrEqualTo(loadMs * ControllerHarness.SETTINGS.weightStoreBytesPerSecond());
    }
}
