package org.kingcuproad.policy.gateway;

/**
 * What one gateway believes of one upstream, from the results that its callers saw.
 *
 * <p>An upstream that fails several times in a row gets no requests for a while, then one at a time until one succeeds.
 */
public final class UpstreamTrust {

    /** Failures in a row that are more likely a fault of the upstream than of single requests. */
    private static final int FAILURES_TO_EJECT = 2;

    /** First pause; failures should be found and tried again within about a second. */
    private static final long FIRST_PAUSE_MS = 1_000;

    /** Longest pause, so that a mended upstream is back within the usual length of a short outage. */
    private static final long LONGEST_PAUSE_MS = 4_000;

    /** Weight of a new latency; five answers move the mean by two thirds. */
    private static final double LATENCY_WEIGHT = 0.2;

    /** Weight of a new result in the share of failures. */
    private static final double FAILURE_WEIGHT = 0.15;

    private int failuresInRow;
    private long pauseMs = FIRST_PAUSE_MS;
    private long ejectedUntilMs = Long.MIN_VALUE;
    private boolean onTrial;
    private double latencyMs;
    private double failureShare;

    /**
     * Notes an answer.
     *
     * @param answerMs time from sending to the first part of the answer, in milliseconds
     */
    public void onSuccess(double answerMs) {
        failuresInRow = 0;
        pauseMs = FIRST_PAUSE_MS;
        onTrial = false;
        latencyMs = latencyMs == 0 ? answerMs : latencyMs + LATENCY_WEIGHT * (answerMs - latencyMs);
        failureShare -= FAILURE_WEIGHT * failureShare;
    }

    /**
     * Notes a failure that speaks against the upstream.
     *
     * @param nowMs current time, in milliseconds
     * @return whether the upstream is now ejected
     */
    public boolean onFailure(long nowMs) {
        failuresInRow++;
        failureShare += FAILURE_WEIGHT * (1 - failureShare);
        if (failuresInRow < FAILURES_TO_EJECT && !onTrial) {
            return false;
        }
        ejectedUntilMs = nowMs + pauseMs;
        pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
        onTrial = true;
        return true;
    }

    /**
     * Tells whether the upstream may get a request.
     *
     * @param inFlight requests that the gateway has there
     * @param nowMs current time, in milliseconds
     * @return {@code false} while it is ejected, or has its one request on trial
     */
    public boolean admits(int inFlight, long nowMs) {
        return nowMs >= ejectedUntilMs && (!onTrial || inFlight == 0);
    }

    /**
     * Returns the mean time to the first part of an answer.
     *
     * @return milliseconds, 0 before the first answer
     */
    public double latencyMs() {
        return latencyMs;
    }

    /**
     * Returns the recent share of failures.
     *
     * @return from 0 to 1
     */
    public double failureShare() {
        return failureShare;
    }
}
