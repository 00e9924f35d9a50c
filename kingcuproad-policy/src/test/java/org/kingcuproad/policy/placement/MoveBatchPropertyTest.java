package org.kingcuproad.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.kingcuproad.model.ModelGroup;

/** Guards against batches that leave an expert without a replica, overfill a rank or exceed the weight store's rate. */
class MoveBatchPropertyTest {

    @Property(tries = 40)
    void everyBatchLeavesValidMapWithinLoadRate(
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
            harness.run(30, ControllerHarness.load(group, shift + seed), ControllerHarness.nominalSpeeds(group), 0.2);
        }
        harness.batches.forEach(batch -> assertValidBatch(group, batch));
    }

    private static void assertValidBatch(ModelGroup group, MoveBatch batch) {
        for (int layer = 0; layer < group.layers(); layer++) {
            int[] slots = batch.next().layer(layer);
            assertThat(slots).hasSize(group.ranks() * group.slotsPerRank());
            assertThat(Arrays.stream(slots).distinct().count()).isEqualTo(group.expertsPerLayer());
        }
        long loadMs = batch.earliestSwitchMs() - batch.loadStartMs();
        assertThat(batch.bytes()).isEqualTo(batch.moves().size() * ControllerHarness.SETTINGS.expertBytes());
        assertThat(batch.bytes() * 1000)
                .isPositive()
                .isLessThanOrEqualTo(loadMs * ControllerHarness.SETTINGS.weightStoreBytesPerSecond());
    }
}
