package org.kingcuproad.policy.lockstep;

/**
 * Estimates the duration of a group's passes and how urgent a better expert map is.
 *
 * <p>Copying experts causes memory traffic, which slows down passes until the copies are complete. While passes are
 * short, all callers are served in time and gain nothing from a better map. When the pass duration approaches the
 * longest pause that callers accept, every millisecond counts.
 */
public final class PassDurationEstimator {

    /** Weight of a new duration in the moving average; ten updates cover about nine tenths of a change. */
    private static final double SMOOTHING_FACTOR = 0.2;

    /**
     * Maximum time between two reports that are used for the estimate; the group may have been idle in a longer gap.
     */
    private static final long MAX_REPORT_GAP_MS = 400;

    private final double relaxedPassMs;
    private final double criticalPassMs;
    private final double minUrgency;
    private double passMs;
    private long lastStep = RankState.NONE;
    private long lastReportMs;

    /**
     * Creates an estimator without any recorded passes.
     *
     * @param relaxedPassMs pass duration up to which the urgency is lowest, in milliseconds
     * @param criticalPassMs pass duration from which the urgency is 1, in milliseconds
     * @param minUrgency lowest urgency, above 0 and at most 1
     */
    public PassDurationEstimator(double relaxedPassMs, double criticalPassMs, double minUrgency) {
        this.relaxedPassMs = relaxedPassMs;
        this.criticalPassMs = criticalPassMs;
        this.minUrgency = minUrgency;
    }

    /**
     * Updates the estimate from the step number of the last pass that has begun.
     *
     * @param step the step number; a number that is not higher than the last one is ignored
     * @param nowMs time of the report, in milliseconds
     */
    public void onStep(long step, long nowMs) {
        if (step <= lastStep) {
            return;
        }
        long elapsedMs = nowMs - lastReportMs;
        if (lastStep != RankState.NONE && elapsedMs <= MAX_REPORT_GAP_MS) {
            double durationMs = (double) elapsedMs / (step - lastStep);
            passMs = passMs == 0 ? durationMs : passMs + SMOOTHING_FACTOR * (durationMs - passMs);
        }
        lastStep = step;
        lastReportMs = nowMs;
    }

    /**
     * Returns the moving average of the pass duration.
     *
     * @return milliseconds, or 0 until two steps close enough together have been reported
     */
    public double passMs() {
        return passMs;
    }

    /**
     * Returns how urgent a better map is, rising linearly between the relaxed and the critical pass duration.
     *
     * @return the urgency, above 0 and at most 1
     */
    public double urgency() {
        return Math.clamp((passMs - relaxedPassMs) / (criticalPassMs - relaxedPassMs), minUrgency, 1.0);
    }
}
