package org.kingcuproad.policy.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Sorts load samples into patterns.
 *
 * <p>Slow drift moves the mean of the pattern in force. A sample far away from all patterns starts a new one. Patterns
 * that do not last long enough to be planned for share one average, the background. While the load changes often, all
 * remembered patterns count as examples of what may come next, because a map made for one of them is worse than an even
 * one for the others.
 */
final class PatternTracker {

    /** Shifts of load below this share are followed as drift rather than as a new pattern. */
    private static final double LEAST_DISTANCE = 0.08;

    /** A sample farther away than this multiple of the usual distance belongs to another pattern. */
    private static final double DISTANCE_MULTIPLE = 3;

    private static final double NOVELTY = 0.3;

    private static final double DISTANCE_SMOOTHING = 0.05;

    /** Bounds memory and planning time; the pattern with the least weight makes room. */
    private static final int MOST_PATTERNS = 16;

    /** Patterns below this share of the weight do not influence the plan. */
    private static final double LEAST_SHARE = 0.02;

    private final PlacementTuning tuning;
    private final double memorySeconds;
    private final List<LoadPattern> patterns = new ArrayList<>();
    private Optional<LoadPattern> current = Optional.empty();
    private Optional<LoadPattern> background = Optional.empty();
    private final VisitLengths visits = new VisitLengths();
    private double usualDistance;
    private double deviation;
    private double backgroundDeviation;
    private double smoothing = 1;
    private double ageSeconds;
    private double memoryAgeSeconds;
    private long lastMs;

    PatternTracker(PlacementTuning tuning, double memorySeconds) {
        this.tuning = tuning;
        this.memorySeconds = memorySeconds;
    }

    void accept(double[][] shares, long takenAtMs) {
        double seconds = current.isEmpty() ? 0 : (takenAtMs - lastMs) / 1000.0;
        lastMs = takenAtMs;
        ageSeconds += seconds;
        double fade = Math.exp(-seconds / memorySeconds);
        memoryAgeSeconds = memoryAgeSeconds * fade + seconds;
        patterns.forEach(pattern -> pattern.fade(fade));
        smoothing = 1 - Math.exp(-Math.max(seconds, 1) / tuning.smoothingSeconds());
        averageBackground(shares, takenAtMs, seconds);
        LoadPattern nearest = nearest(shares, takenAtMs);
        visits.fade(fade);
        boolean changed = current.isPresent() && current.get() != nearest;
        if (changed) {
            visits.ended(nearest.dwellSeconds() > 0);
        }
        visits.lasted(seconds);
        nearest.seen(takenAtMs, seconds, changed && nearest.dwellSeconds() > 0);
        current = Optional.of(nearest);
    }

    List<Scenario> scenarios(double[] slowness) {
        boolean changing = visits.areShort(horizonSeconds());
        List<LoadPattern> counted =
                patterns.stream().filter(pattern -> changing || lasts(pattern)).toList();
        double[] weights = counted.stream()
                .mapToDouble(pattern -> changing
                        ? pattern.dwellSeconds() + (isCurrent(pattern) ? visits.expectedSeconds() : 0)
                        : pattern.weight(lastMs, tuning.qualifySeconds()))
                .toArray();
        double known = counted.stream().mapToDouble(LoadPattern::dwellSeconds).sum();
        double unknown = Math.max(0, memoryAgeSeconds - known);
        double total = unknown + Arrays.stream(weights).sum();
        List<Scenario> scenarios = new ArrayList<>();
        for (int i = 0; i < weights.length; i++) {
            addScenario(scenarios, counted.get(i), weights[i] / total, slowness);
        }
        double unknownShare = unknown / total;
        background.ifPresent(pattern -> addScenario(scenarios, pattern, unknownShare, slowness));
        double kept = scenarios.stream().mapToDouble(Scenario::weight).sum();
        return scenarios.stream()
                .map(scenario -> scenario.with(scenario.weight() / kept, slowness))
                .toList();
    }

    /** Returns the standard error of the load of an expert, as a share of it. */
    double loadError() {
        if (visits.areShort(horizonSeconds())) {
            // Patterns that do not return are a small sample of what may come; a plan fits them better than the next
            // one.
            return deviation + visits.novelty() * backgroundDeviation * NOVELTY / Math.sqrt(visits.changes());
        }
        double known = patterns.stream()
                .filter(this::lasts)
                .mapToDouble(pattern -> deviation * Math.sqrt(pattern.varianceShare(smoothing)))
                .max()
                .orElse(1);
        return patterns.stream().anyMatch(this::lasts) ? known : backgroundError();
    }

    /** Returns the time that the load has been observed for, in seconds. */
    double evidenceSeconds() {
        if (visits.areShort(horizonSeconds())) {
            return memoryAgeSeconds;
        }
        return patterns.stream()
                .filter(this::lasts)
                .mapToDouble(LoadPattern::dwellSeconds)
                .max()
                .orElse(ageSeconds < memorySeconds / 2 ? 0 : ageSeconds);
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
        return memorySeconds / LoadTracker.MEMORY_MULTIPLE;
    }

    private boolean lasts(LoadPattern pattern) {
        return pattern.dwellSeconds() >= tuning.qualifySeconds();
    }

    private void addScenario(List<Scenario> scenarios, LoadPattern pattern, double share, double[] slowness) {
        if (share >= LEAST_SHARE) {
            scenarios.add(new Scenario(share, pattern.shares(), slowness));
        }
    }

    private double backgroundSmoothing() {
        return smoothing * tuning.smoothingSeconds() / memorySeconds;
    }

    private void averageBackground(double[][] shares, long takenAtMs, double seconds) {
        LoadPattern pattern = background.orElseGet(() -> new LoadPattern(shares, takenAtMs));
        if (background.isPresent()) {
            backgroundDeviation += DISTANCE_SMOOTHING * (pattern.deviation(shares) - backgroundDeviation);
            pattern.average(shares, backgroundSmoothing());
            pattern.seen(takenAtMs, seconds, false);
        }
        background = Optional.of(pattern);
    }

    private LoadPattern nearest(double[][] shares, long takenAtMs) {
        Optional<LoadPattern> nearest =
                patterns.stream().min(Comparator.comparingDouble(pattern -> pattern.distance(shares)));
        double limit = Math.max(LEAST_DISTANCE, DISTANCE_MULTIPLE * usualDistance);
        if (nearest.isPresent() && nearest.get().distance(shares) <= limit) {
            LoadPattern pattern = nearest.get();
            usualDistance += DISTANCE_SMOOTHING * (pattern.distance(shares) - usualDistance);
            deviation += DISTANCE_SMOOTHING * (pattern.deviation(shares) - deviation);
            pattern.average(shares, smoothing);
            return pattern;
        }
        if (patterns.size() == MOST_PATTERNS) {
            patterns.remove(patterns.stream()
                    .min(Comparator.comparingDouble(pattern -> pattern.weight(takenAtMs, tuning.qualifySeconds())))
                    .orElseThrow());
        }
        LoadPattern created = new LoadPattern(shares, takenAtMs);
        patterns.add(created);
        return created;
    }
}
