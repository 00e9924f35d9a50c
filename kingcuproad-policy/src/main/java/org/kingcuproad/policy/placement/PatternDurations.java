package org.kingcuproad.policy.placement;

/** Statistics of how long load patterns last before another pattern replaces them; older observations decay. */
final class PatternDurations {

    /** Below this number of changes, weighted by age, the mean duration hardly predicts the next one. */
    private static final double MIN_CHANGES = 2.5;

    private double changes;
    private double changesToNewPattern;
    private double totalSeconds;

    void decay(double factor) {
        changes *= factor;
        changesToNewPattern *= factor;
        totalSeconds *= factor;
    }

    void recordChange(boolean toKnownPattern) {
        changes++;
        changesToNewPattern += toKnownPattern ? 0 : 1;
    }

    /** Returns the share of changes that led to a pattern not seen before, weighted by age. */
    double newPatternShare() {
        return changesToNewPattern / Math.max(1, changes);
    }

    /** Returns the number of changes, weighted by age. */
    double changes() {
        return changes;
    }

    void addDuration(double durationSeconds) {
        totalSeconds += durationSeconds;
    }

    /** Returns whether several patterns ended recently and lasted less than half of the horizon on average. */
    boolean areShort(double horizonSeconds) {
        return changes >= MIN_CHANGES && meanSeconds() < horizonSeconds / 2;
    }

    /** Returns the mean duration of a pattern, in seconds. */
    double meanSeconds() {
        return totalSeconds / Math.max(1, changes);
    }
}
