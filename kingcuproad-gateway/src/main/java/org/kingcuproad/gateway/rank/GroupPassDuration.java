package org.kingcuproad.gateway.rank;

import org.kingcuproad.policy.lockstep.PassDurationEstimator;

/** Mean duration of the passes of an engine's group, which restarts with each formation of the group. */
final class GroupPassDuration {

    /** Time without a new pass after which the last durations say nothing about the next pass, in milliseconds. */
    private static final long MAX_AGE_MS = 1_000;

    private PassDurationEstimator estimator = created();
    private long epoch;
    private long lastStep;
    private long lastPassMs = Long.MIN_VALUE / 2;

    /** Creates an estimator of which only the duration is used, so that the bounds of its urgency don't matter. */
    private static PassDurationEstimator created() {
        return new PassDurationEstimator(0, 1, 1);
    }

    void onReport(long reportedEpoch, long step, long nowMs) {
        if (reportedEpoch != epoch) {
            epoch = reportedEpoch;
            estimator = created();
        }
        if (step != lastStep) {
            lastStep = step;
            lastPassMs = nowMs;
        }
        estimator.onStep(step, nowMs);
    }

    /** Returns the mean duration, or 0 if no pass was seen recently. */
    double passMs(long nowMs) {
        return nowMs - lastPassMs <= MAX_AGE_MS ? estimator.passMs() : 0;
    }
}
