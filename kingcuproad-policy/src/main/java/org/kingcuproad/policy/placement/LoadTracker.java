package org.kingcuproad.policy.placement;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.model.PlacementSettings;

/**
 * Builds a load forecast from samples.
 *
 * <p>Samples may be late, repeated or missing: a sample that is not newer than the last accepted one is ignored, and
 * elapsed time is computed from the timestamps of the samples, not from their arrival.
 */
final class LoadTracker {

    /** Time constant with which observations of patterns decay, as a multiple of the payback horizon. */
    static final double DECAY_TIME_MULTIPLE = 2;

    private final ModelGroup group;
    private final double expertShareOfStep;
    private final PatternTracker patterns;
    private final SpeedTracker speeds;
    private long lastSampleMs = Long.MIN_VALUE;

    LoadTracker(ModelGroup group, PlacementSettings settings, PlacementTuning tuning) {
        this.group = group;
        this.expertShareOfStep = tuning.expertShareOfStep();
        this.patterns = new PatternTracker(tuning, DECAY_TIME_MULTIPLE * settings.paybackHorizonSeconds());
        this.speeds = new SpeedTracker(group.ranks());
    }

    /** Processes a sample unless it is late or repeated, and returns whether it was processed. */
    boolean accept(LoadSample sample) {
        if (sample.takenAtMs() <= lastSampleMs) {
            return false;
        }
        lastSampleMs = sample.takenAtMs();
        patterns.accept(sample.shares(), sample.takenAtMs());
        speeds.accept(sample.slowness(), sample.takenAtMs());
        return true;
    }

    Optional<LoadForecast> forecast() {
        if (lastSampleMs == Long.MIN_VALUE || patterns.observedSeconds() <= 0) {
            return Optional.empty();
        }
        double[] nominalSlowness = new double[group.ranks()];
        Arrays.fill(nominalSlowness, 1);
        List<Scenario> scenarios = speeds.split(patterns.scenarios(nominalSlowness), expertShareOfStep);
        double observedSeconds = Math.min(patterns.observedSeconds(), speeds.observedSeconds(lastSampleMs));
        return Optional.of(new LoadForecast(scenarios, patterns.loadError(), observedSeconds));
    }

    boolean isStraggler(int rank) {
        return speeds.isStraggler(rank);
    }
}
