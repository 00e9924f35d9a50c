package org.kingcuproad.policy.placement;

/** How long load patterns last before another one takes over. */
final class VisitLengths {

    /** Fewer changes than this say little about the next one. */
    private static final double LEAST_CHANGES = 2.5;

    private double changes;
    private double toNewPattern;
    private double seconds;

    void fade(double factor) {
        changes *= factor;
        toNewPattern *= factor;
        seconds *= factor;
    }

    void ended(boolean knownNext) {
        changes++;
        toNewPattern += knownNext ? 0 : 1;
    }

    /** Returns the share of changes that led to a pattern not seen before. */
    double novelty() {
        return toNewPattern / Math.max(1, changes);
    }

    /** Returns the number of recent changes. */
    double changes() {
        return changes;
    }

    void lasted(double more) {
        seconds += more;
    }

    /** Returns whether several patterns ended recently, each within half of a horizon on average. */
    boolean areShort(double horizonSeconds) {
        return changes >= LEAST_CHANGES && expectedSeconds() < horizonSeconds / 2;
    }

    /** Returns the mean length of a visit, in seconds. */
    double expectedSeconds() {
        return seconds / Math.max(1, changes);
    }
}
