package org.kingcuproad.policy.placement;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.model.PlacementSettings;

/**
 * Turns samples into an outlook.
 *
 * <p>Samples may be late, repeated or missing: a sample that is not newer than the last accepted one is ignored, and
 * time is taken from the samples rather than from their arrival.
 */
final class LoadTracker {

    /** Patterns are remembered for this multiple of the payback horizon. */
    static final double MEMORY_MULTIPLE = 2;

    private final ModelGroup group;
    private final double expertShareOfStep;
    private final PatternTracker patterns;
    private final SpeedTracker speeds;
    private long lastTakenMs = Long.MIN_VALUE;

    LoadTracker(ModelGroup group, PlacementSettings settings, PlacementTuning tuning) {
        this.group = group;
        this.expertShareOfStep = tuning.expertShareOfStep();
        this.patterns = new PatternTracker(tuning, MEMORY_MULTIPLE * settings.paybackHorizonSeconds());
        this.speeds = new SpeedTracker(group.ranks());
    }

    /** Takes in a sample and returns whether it was new. */
    boolean accept(LoadSample sample) {
        if (sample.takenAtMs() <= lastTakenMs) {
            return false;
        }
        lastTakenMs = sample.takenAtMs();
        patterns.accept(sample.shares(), sample.takenAtMs());
        speeds.accept(sample.slowness(), sample.takenAtMs());
        return true;
    }

    Optional<Outlook> outlook() {
        if (lastTakenMs == Long.MIN_VALUE || patterns.evidenceSeconds() <= 0) {
            return Optional.empty();
        }
        double[] usual = new double[group.ranks()];
        Arrays.fill(usual, 1);
        List<Scenario> scenarios = speeds.split(patterns.scenarios(usual), expertShareOfStep);
        double evidence = Math.min(patterns.evidenceSeconds(), speeds.evidenceSeconds(lastTakenMs));
        return Optional.of(new Outlook(scenarios, patterns.loadError(), evidence));
    }

    boolean isStraggler(int rank) {
        return speeds.isStraggler(rank);
    }
}
