package org.kingcuproad.policy.lockstep;

/**
 * How long the passes of a group take, and how much that matters.
 *
 * <p>Copies of experts cost memory traffic and slow passes down while they last. Where passes are short, all callers
 * are served in time, and a better map would bring them nothing; where passes are near the longest pause that callers
 * accept, every millisecond counts.
 */
public final class PassPace {

    /** Weight of a new duration; ten passes move the mean by about nine tenths. */
    private static final double WEIGHT = 0.2;

    /** Reports that lie further apart may have an idle time between them. */
    private static final long LONGEST_GAP_MS = 400;

    private final double calmMs;
    private final double tightMs;
    private final double leastPressure;
    private double passMs;
    private long lastStep = RankState.NONE;
    private long lastMs;

    /**
     * Creates a pace that knows no pass yet.
     *
     * @param calmMs length of a pass up to which a better map is worth little, in milliseconds
     * @param tightMs length of a pass from which on a better map is worth most, in milliseconds
     * @param leastPressure worth of a better map up to the calm length, as a share of the most
     */
    public PassPace(double calmMs, double tightMs, double leastPressure) {
        this.calmMs = calmMs;
        this.tightMs = tightMs;
        this.leastPressure = leastPressure;
    }

    /**
     * Takes the number of the last pass that was begun.
     *
     * @param step the number
     * @param nowMs time of the report, in milliseconds
     */
    public void onStep(long step, long nowMs) {
        if (step <= lastStep) {
            return;
        }
        long elapsedMs = nowMs - lastMs;
        if (lastStep != RankState.NONE && elapsedMs <= LONGEST_GAP_MS) {
            double durationMs = (double) elapsedMs / (step - lastStep);
            passMs = passMs == 0 ? durationMs : passMs + WEIGHT * (durationMs - passMs);
        }
        lastStep = step;
        lastMs = nowMs;
    }

    /**
     * Returns the mean length of a pass.
     *
     * @return milliseconds, 0 before the first two passes
     */
    public double passMs() {
        return passMs;
    }

    /**
     * Returns how much a better map is worth.
     *
     * @return a share of the most that it can be worth, above 0 and at most 1
     */
    public double pressure() {
        return Math.clamp((passMs - calmMs) / (tightMs - calmMs), leastPressure, 1.0);
    }
}
