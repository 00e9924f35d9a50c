package org.kingcuproad.policy.lockstep;

/**
 * Decides how many passes ahead a pass is held, from the time that arming all ranks takes.
 *
 * <p>This answers groups whose passes take from a few milliseconds to a quarter of a second: a constant number of
 * passes delays a map by a second while passes are long, and stalls the group while they are short. Not thread-safe.
 */
final class HoldLead {

    /** Time that is assumed before the first change; agents report every 20 to 60 ms, and ranks are armed in turns. */
    private static final double INITIAL_ARMING_MS = 240;

    /** Weight of a new, shorter time; a longer one counts at once, because the whole group waits for the last rank. */
    private static final double WEIGHT = 0.2;

    /** Lead while the duration of a pass is unknown. */
    private static final long DEFAULT_PASSES = 4;

    private static final long MIN_PASSES = 2;

    private final long maxPasses;
    private double armingMs = INITIAL_ARMING_MS;
    private double passMs;

    /**
     * Creates a lead for a group of which nothing is known.
     *
     * @param maxPasses maximum lead
     */
    HoldLead(long maxPasses) {
        this.maxPasses = maxPasses;
    }

    /** Records the duration of a pass, or 0 while it is unknown. */
    void onPassDuration(double durationMs) {
        passMs = durationMs;
    }

    /** Records how long it took from the hold until the last rank was armed, or that it took too long. */
    void onArmed(double elapsedMs) {
        armingMs = Math.max(elapsedMs, armingMs + WEIGHT * (elapsedMs - armingMs));
    }

    /** Returns the number of passes from the last one begun, whose end may be near, to the one to be held. */
    long passes() {
        return passMs <= 0
                ? Math.min(DEFAULT_PASSES, maxPasses)
                : (long) Math.clamp(1 + Math.ceil(armingMs / passMs), MIN_PASSES, maxPasses);
    }
}
