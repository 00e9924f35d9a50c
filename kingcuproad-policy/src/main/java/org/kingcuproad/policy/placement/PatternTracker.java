package org.kingcuproad.policy.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Clusters load samples into patterns.
 *
 * <p>Slow drift moves the mean of the current pattern. A sample far away from all patterns starts a new one. Time spent
 * in patterns that do not last long enough to be planned for is represented by the background, one average over all
 * samples. While the load changes often, all stored patterns are included as examples of the load to come, because a
 * map optimised for one of them is worse for the others than an even map.
 */
final class PatternTracker {

    /** Shifts of less than this share of the load are treated as drift and never start a new pattern. */
    private static final double MIN_NEW_PATTERN_DISTANCE = 0.08;

    /** A sample farther from a pattern than this multiple of the average distance belongs to another pattern. */
    private static final double DISTANCE_MULTIPLE = 3;

    private static final double NEW_PATTERN_ERROR_FACTOR = 0.3;

    private static final double DISTANCE_SMOOTHING = 0.05;

    /** Bounds memory and planning time; when the limit is reached, the pattern with the lowest weight is evicted. */
    private static final int MAX_PATTERNS = 16;

    /** Patterns with less than this share of the total weight are left out of the forecast. */
    private static final double MIN_SCENARIO_SHARE = 0.02;

    private final PlacementTuning tuning;
    private final double decayTimeSeconds;
    private final List<LoadPattern> patterns = new ArrayList<>();
    private Optional<LoadPattern> current = Optional.empty();
    private Optional<LoadPattern> background = Optional.empty();
    private final PatternDurations durations = new PatternDurations();
    private double averageDistance;
    private double deviation;
    private double backgroundDeviation;
    private double smoothing = 1;
    private double ageSeconds;
    private double decayedAgeSeconds;
    private long lastMs;

    PatternTracker(PlacementTuning tuning, double decayTimeSeconds) {
        this.tuning = tuning;
        this.decayTimeSeconds = decayTimeSeconds;
    }

    void accept(double[][] shares, long takenAtMs) {
        double seconds = current.isEmpty() ? 0 : (takenAtMs - lastMs) / 1000.0;
        lastMs = takenAtMs;
        ageSeconds += seconds;
        double decayFactor = Math.exp(-seconds / decayTimeSeconds);
        decayedAgeSeconds = decayedAgeSeconds * decayFactor + seconds;
        patterns.forEach(pattern -> pattern.decay(decayFactor));
        smoothing = 1 - Math.exp(-Math.max(seconds, 1) / tuning.smoothingSeconds());
        updateBackground(shares, takenAtMs, seconds);
        LoadPattern nearest = assignPattern(shares, takenAtMs);
        durations.decay(decayFactor);
        boolean changed = current.isPresent() && current.get() != nearest;
        if (changed) {
            durations.recordChange(nearest.dwellSeconds() > 0);
        }
        durations.addDuration(seconds);
        nearest.recordSample(takenAtMs, seconds, changed && nearest.dwellSeconds() > 0);
        current = Optional.of(nearest);
    }

    List<Scenario> scenarios(double[] slowness) {
        boolean changesOften = durations.areShort(horizonSeconds());
        List<LoadPattern> included = patterns.stream()
                .filter(pattern -> changesOften || isEstablished(pattern))
                .toList();
        double[] weights = included.stream()
                .mapToDouble(pattern -> changesOften
                        ? pattern.dwellSeconds() + (isCurrent(pattern) ? durations.meanSeconds() : 0)
                        : pattern.weight(lastMs, tuning.minPatternSeconds()))
                .toArray();
        double knownSeconds =
                included.stream().mapToDouble(LoadPattern::dwellSeconds).sum();
        double unknownSeconds = Math.max(0, decayedAgeSeconds - knownSeconds);
        double totalWeight = unknownSeconds + Arrays.stream(weights).sum();
        List<Scenario> scenarios = new ArrayList<>();
        for (int i = 0; i < weights.length; i++) {
            addScenario(scenarios, included.get(i), weights[i] / totalWeight, slowness);
        }
        double unknownShare = unknownSeconds / totalWeight;
        background.ifPresent(pattern -> addScenario(scenarios, pattern, unknownShare, slowness));
        double includedShare = scenarios.stream().mapToDouble(Scenario::weight).sum();
        return scenarios.stream()
                .map(scenario -> scenario.withWeightAndSlowness(scenario.weight() / includedShare, slowness))
                .toList();
    }

    /** Returns the standard error of the estimated load of an expert, as a share of the load. */
    double loadError() {
        if (durations.areShort(horizonSeconds())) {
            // Patterns that do not recur are a small sample of the load to come, so a plan overfits: it suits them
            // better than it suits the next pattern.
            return deviation
                    + durations.newPatternShare()
                            * backgroundDeviation
                            * NEW_PATTERN_ERROR_FACTOR
                            / Math.sqrt(durations.changes());
        }
        double establishedError = patterns.stream()
                .filter(this::isEstablished)
                .mapToDouble(pattern -> deviation * Math.sqrt(pattern.varianceShare(smoothing)))
                .max()
                .orElse(1);
        return patterns.stream().anyMatch(this::isEstablished) ? establishedError : backgroundError();
    }

    /** Returns the time for which the load has been observed, in seconds. */
    double observedSeconds() {
        if (durations.areShort(horizonSeconds())) {
            return decayedAgeSeconds;
        }
        return patterns.stream()
                .filter(this::isEstablished)
                .mapToDouble(LoadPattern::dwellSeconds)
                .max()
                .orElse(ageSeconds < decayTimeSeconds / 2 ? 0 : ageSeconds);
    }

    private double backgroundError() {
        return background
                .map(pattern -> backgroundDeviation * Math.sqrt(pattern.varianceShare(backgroundSmoothing())))
                .orElse(1.0);
    }

    private boolean isCurrent(LoadPattern pattern) {
        return current.isPresent() && current.get() == pattern;
    }

    private double horizonSeconds() {
        return decayTimeSeconds / LoadTracker.DECAY_TIME_MULTIPLE;
    }

    private boolean isEstablished(LoadPattern pattern) {
        return pattern.dwellSeconds() >= tuning.minPatternSeconds();
    }

    private void addScenario(List<Scenario> scenarios, LoadPattern pattern, double share, double[] slowness) {
        if (share >= MIN_SCENARIO_SHARE) {
            scenarios.add(new Scenario(share, pattern.shares(), slowness));
        }
    }

    private double backgroundSmoothing() {
        return smoothing * tuning.smoothingSeconds() / decayTimeSeconds;
    }

    private void updateBackground(double[][] shares, long takenAtMs, double seconds) {
        LoadPattern pattern = background.orElseGet(() -> new LoadPattern(shares, takenAtMs));
        if (background.isPresent()) {
            backgroundDeviation += DISTANCE_SMOOTHING * (pattern.deviation(shares) - backgroundDeviation);
            pattern.updateMean(shares, backgroundSmoothing());
            pattern.recordSample(takenAtMs, seconds, false);
        }
        background = Optional.of(pattern);
    }

    private LoadPattern assignPattern(double[][] shares, long takenAtMs) {
        Optional<LoadPattern> nearest =
                patterns.stream().min(Comparator.comparingDouble(pattern -> pattern.distance(shares)));
        double limit = Math.max(MIN_NEW_PATTERN_DISTANCE, DISTANCE_MULTIPLE * averageDistance);
        if (nearest.isPresent() && nearest.get().distance(shares) <= limit) {
            LoadPattern pattern = nearest.get();
            averageDistance += DISTANCE_SMOOTHING * (pattern.distance(shares) - averageDistance);
            deviation += DISTANCE_SMOOTHING * (pattern.deviation(shares) - deviation);
            pattern.updateMean(shares, smoothing);
            return pattern;
        }
        if (patterns.size() == MAX_PATTERNS) {
            patterns.remove(patterns.stream()
                    .min(Comparator.comparingDouble(pattern -> pattern.weight(takenAtMs, tuning.minPatternSeconds())))
                    .orElseThrow());
        }
        LoadPattern created = new LoadPattern(shares, takenAtMs);
        patterns.add(created);
        return created;
    }
}
