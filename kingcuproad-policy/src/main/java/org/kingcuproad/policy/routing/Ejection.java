package org.kingcuproad.policy.routing;

/** Outlier ejection of one upstream: consecutive failures, exponential back-off and slow start after readmission. */
final class Ejection {

    /**
     * Share of the normal traffic right after readmission; small, because the first requests show whether the upstream
     * has recovered.
     */
    private static final double INITIAL_SHARE = 0.05;

    /** Maximum jitter relative to the ejection time, so that entries do not readmit an upstream simultaneously. */
    private static final double MAX_RELATIVE_JITTER = 0.25;

    private static final int MAX_BACK_OFF_LEVEL = 16;

    private final RouterSettings settings;
    private int consecutiveFailures;
    private int backOffLevel;
    private long ejectedUntilMs;
    private long slowStartBeganMs = Long.MIN_VALUE;
    private boolean ejected;

    Ejection(RouterSettings settings) {
        this.settings = settings;
    }

    /**
     * Counts a failure. During slow start a single failure is enough for another ejection.
     *
     * @param nowMs current time, in milliseconds
     * @return whether the upstream must be ejected now
     */
    boolean countFailure(long nowMs) {
        consecutiveFailures++;
        return !ejected && (inSlowStart(nowMs) || consecutiveFailures >= settings.failuresBeforeEjection());
    }

    /**
     * Resets the failure count and, once slow start is over, the back-off level.
     *
     * @param nowMs current time, in milliseconds
     */
    void countSuccess(long nowMs) {
        consecutiveFailures = 0;
        if (!ejected && !inSlowStart(nowMs)) {
            backOffLevel = 0;
        }
    }

    /**
     * Ejects the upstream, doubling the ejection time with each consecutive ejection up to the maximum.
     *
     * @param nowMs current time, in milliseconds
     * @param random random number from 0 to 1 that scales the jitter
     */
    void eject(long nowMs, double random) {
        long durationMs = Math.min(settings.ejectionMaxMs(), settings.ejectionBaseMs() << backOffLevel);
        ejectedUntilMs = nowMs + durationMs + (long) (durationMs * MAX_RELATIVE_JITTER * random);
        backOffLevel = Math.min(MAX_BACK_OFF_LEVEL, backOffLevel + 1);
        consecutiveFailures = 0;
        ejected = true;
    }

    /**
     * Ends the ejection and begins slow start.
     *
     * @param nowMs current time, in milliseconds
     */
    void startSlowStart(long nowMs) {
        ejected = false;
        consecutiveFailures = 0;
        slowStartBeganMs = nowMs;
    }

    /**
     * Returns the share of its normal traffic that the upstream may receive.
     *
     * @param nowMs current time, in milliseconds
     * @return 0 while ejected, rising to 1 during slow start, otherwise 1
     */
    double share(long nowMs) {
        if (ejected) {
            return 0;
        }
        if (!inSlowStart(nowMs)) {
            return 1;
        }
        return Math.max(INITIAL_SHARE, (nowMs - slowStartBeganMs) / (double) settings.slowStartMs());
    }

    /**
     * Returns whether the upstream is ejected.
     *
     * @return {@code true} from ejection until readmission
     */
    boolean ejected() {
        return ejected;
    }

    /**
     * Returns the end of the ejection.
     *
     * @return earliest time at which the upstream may be readmitted, in milliseconds
     */
    long ejectedUntilMs() {
        return ejectedUntilMs;
    }

    private boolean inSlowStart(long nowMs) {
        return slowStartBeganMs != Long.MIN_VALUE && nowMs - slowStartBeganMs < settings.slowStartMs();
    }
}
