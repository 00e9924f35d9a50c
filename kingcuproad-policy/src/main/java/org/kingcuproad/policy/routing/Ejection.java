package org.kingcuproad.policy.routing;

/** Failure count, back-off and slow return of one upstream. */
final class Ejection {

    /** Share of traffic right after a return; small, because the first requests find out whether it recovered. */
    private static final double FIRST_SHARE = 0.05;

    /** Largest relative jitter of an ejection, so that entries do not return to an upstream at the same time. */
    private static final double JITTER = 0.25;

    private static final int MAX_LEVEL = 16;

    private final RouterSettings settings;
    private int consecutiveFailures;
    private int level;
    private long untilMs;
    private long returnedMs = Long.MIN_VALUE;
    private boolean ejected;

    Ejection(RouterSettings settings) {
        this.settings = settings;
    }

    /**
     * Counts a failure. During a slow return one failure is enough.
     *
     * @param nowMs current time, in milliseconds
     * @return whether the upstream must be ejected now
     */
    boolean countFailure(long nowMs) {
        consecutiveFailures++;
        return !ejected && (returning(nowMs) || consecutiveFailures >= settings.failuresBeforeEjection());
    }

    /**
     * Notes a success, which ends the row of failures and, after a full return, the memory of earlier ejections.
     *
     * @param nowMs current time, in milliseconds
     */
    void countSuccess(long nowMs) {
        consecutiveFailures = 0;
        if (!ejected && !returning(nowMs)) {
            level = 0;
        }
    }

    /**
     * Ejects the upstream for twice as long as the last time.
     *
     * @param nowMs current time, in milliseconds
     * @param random a number from 0 to 1 that sets the jitter
     */
    void eject(long nowMs, double random) {
        long lengthMs = Math.min(settings.ejectionMaxMs(), settings.ejectionBaseMs() << level);
        untilMs = nowMs + lengthMs + (long) (lengthMs * JITTER * random);
        level = Math.min(MAX_LEVEL, level + 1);
        consecutiveFailures = 0;
        ejected = true;
    }

    /**
     * Ends the ejection and starts the slow return.
     *
     * @param nowMs current time, in milliseconds
     */
    void returnSlowly(long nowMs) {
        ejected = false;
        consecutiveFailures = 0;
        returnedMs = nowMs;
    }

    /**
     * Returns the share of its normal traffic that the upstream may get.
     *
     * @param nowMs current time, in milliseconds
     * @return 0 while ejected, then rising to 1
     */
    double share(long nowMs) {
        if (ejected) {
            return 0;
        }
        if (!returning(nowMs)) {
            return 1;
        }
        return Math.max(FIRST_SHARE, (nowMs - returnedMs) / (double) settings.returnRampMs());
    }

    /**
     * Tells whether the upstream is ejected.
     *
     * @return {@code true} from an ejection to the return
     */
    boolean ejected() {
        return ejected;
    }

    /**
     * Returns the end of the ejection.
     *
     * @return time from which the upstream may return, in milliseconds
     */
    long untilMs() {
        return untilMs;
    }

    private boolean returning(long nowMs) {
        return returnedMs != Long.MIN_VALUE && nowMs - returnedMs < settings.returnRampMs();
    }
}
