package org.kingcuproad.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.kingcuproad.model.ModelGroup;

/**
 * Guards against moves triggered by noise, undetected stragglers and plans that are continued after the load has
 * changed.
 */
class PlacementControllerTest {

    private static final ModelGroup GROUP = ControllerHarness.group(4, 4, 8, 4);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void noiseAloneCausesNoMoves(long seed) {
        ControllerHarness harness = new ControllerHarness(GROUP, seed, 0.1);
        double[][] load = ControllerHarness.load(GROUP, 0);
        harness.run(240, load, ControllerHarness.nominalSpeeds(GROUP), 0);
        int settled = harness.batches.size();
        harness.run(1000, load, ControllerHarness.nominalSpeeds(GROUP), 0);
        assertThat(settled).isPositive();
        assertThat(harness.batches).hasSize(settled);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5})
    void movesLoadOffStraggler(int period) {
        ControllerHarness harness = new ControllerHarness(GROUP, 1, 0.03);
        double[][] load = ControllerHarness.load(GROUP, 0);
        harness.run(120, load, ControllerHarness.nominalSpeeds(GROUP), 0);
        double before = share(harness.controller.map(), load, 2);
        double[] slow = {1, 1, 0.4, 1};
        for (int i = 0; i < 120; i++) {
            harness.run(1, load, i % period < 2 ? slow : ControllerHarness.nominalSpeeds(GROUP), 0);
        }
        assertThat(harness.controller.isStraggler(2)).isTrue();
        assertThat(share(harness.controller.map(), load, 2)).isLessThan(0.95 * before);
    }

    @Test
    void singleStallDoesNotMakeStraggler() {
        ControllerHarness harness = new ControllerHarness(GROUP, 1, 0.03);
        double[][] load = ControllerHarness.load(GROUP, 0);
        harness.run(2, load, new double[] {1, 1, 0.1, 1}, 0);
        harness.run(30, load, ControllerHarness.nominalSpeeds(GROUP), 0);
        assertThat(harness.controller.isStraggler(2)).isFalse();
    }

    @Test
    void ignoresLateAndRepeatedSamples() {
        LoadTracker tracker = new LoadTracker(GROUP, ControllerHarness.SETTINGS, PlacementTuning.defaults());
        double[] speed = ControllerHarness.nominalSpeeds(GROUP);
        assertThat(tracker.accept(new LoadSample(2000, ControllerHarness.load(GROUP, 0), speed)))
                .isTrue();
        assertThat(tracker.accept(new LoadSample(2000, ControllerHarness.load(GROUP, 3), speed)))
                .isFalse();
        assertThat(tracker.accept(new LoadSample(1000, ControllerHarness.load(GROUP, 3), speed)))
                .isFalse();
    }

    @Test
    void abandonsPlanMadeObsoleteByDrift() {
        ModelGroup large = ControllerHarness.group(16, 8, 32, 4);
        ControllerHarness harness =
                new ControllerHarness(large, 1, 0.02, new PlacementTuning(0.1, 0.6, 1, 60, 200, 180, 0.01, 2));
        double[] speed = ControllerHarness.nominalSpeeds(large);
        while (harness.batches.isEmpty()) {
            harness.run(1, ControllerHarness.load(large, 0), speed, 0);
        }
        harness.run(40, ControllerHarness.load(large, 13), speed, 0);
        assertThat(harness.keepReasons).contains(KeepReason.PLAN_ABANDONED);
    }

    @Test
    void dropsPlanForAnotherMapVersion() {
        ControllerHarness harness = new ControllerHarness(GROUP, 1, 0.02);
        while (harness.batches.isEmpty()) {
            harness.run(1, ControllerHarness.load(GROUP, 0), ControllerHarness.nominalSpeeds(GROUP), 0);
        }
        ExpertMap other = ExpertMap.roundRobin(GROUP).withMoves(List.of()).withMoves(List.of());
        harness.controller.mapObserved(other);
        harness.controller.batchApplied();
        assertThat(harness.controller.map()).isEqualTo(other);
    }

    private static double share(ExpertMap map, double[][] load, int rank) {
        double share = 0;
        double total = 0;
        for (int layer = 0; layer < load.length; layer++) {
            double[] times = map.rankTimes(layer, load[layer], new double[] {1, 1, 1, 1});
            share += times[rank];
            total += java.util.Arrays.stream(times).sum();
        }
        return share / total;
    }
}
