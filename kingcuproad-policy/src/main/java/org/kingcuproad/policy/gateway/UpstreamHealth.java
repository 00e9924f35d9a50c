package org.kingcuproad.policy.gateway;

/**
 * Health of one upstream as one gateway observes it from the results of its requests.
 *
 * <p>An upstream that fails several times in a row is ejected: it gets no requests for a while, then one at a time
 * until one succeeds.
 */
public final class UpstreamHealth {

    /** Number of consecutive failures that indicate a fault of the upstream rather than of single requests. */
    private static final int EJECTION_THRESHOLD = 2;

    /**
     * Duration of the first ejection; failures should be detected and the upstream tried again within about a second.
     */
    private static final long MIN_EJECTION_MS = 1_000;

    /**
     * Maximum duration of an ejection, so that a recovered upstream is used again within the usual length of a short
     * outage.
     */
    private static final long MAX_EJECTION_MS = 4_000;

    /** Weight of a new latency sample; five responses move the mean by two thirds. */
    private static final double LATENCY_WEIGHT = 0.2;

    /** Weight of a new result in the failure rate. */
    private static final double FAILURE_WEIGHT = 0.15;

    private int consecutiveFailures;
    private long ejectionMs = MIN_EJECTION_MS;
    private long ejectedUntilMs = Long.MIN_VALUE;
    private boolean probing;
    private double latencyMs;
    private double failureRate;

    /**
     * Records a response.
     *
     * @param responseMs time from sending the request to the first part of the response, in milliseconds
     */
    public void onSuccess(double responseMs) {
        consecutiveFailures = 0;
        ejectionMs = MIN_EJECTION_MS;
        probing = false;
        latencyMs = latencyMs == 0 ? responseMs : latencyMs + LATENCY_WEIGHT * (responseMs - latencyMs);
        failureRate -= FAILURE_WEIGHT * failureRate;
    }

    /**
     * Records a failure that is attributed to the upstream.
     *
     * @param nowMs current time, in milliseconds
     * @return whether the upstream is now ejected
     */
    public boolean onFailure(long nowMs) {
        consecutiveFailures++;
        failureRate += FAILURE_WEIGHT * (1 - failureRate);
        if (consecutiveFailures < EJECTION_THRESHOLD && !probing) {
            return false;
        }
        ejectedUntilMs = nowMs + ejectionMs;
        ejectionMs = Math.min(MAX_EJECTION_MS, ejectionMs * 2);
        probing = true;
        return true;
    }

    /**
     * Records a response of which nothing shows that it was whole. Others are preferred, but the upstream is not
     * ejected, because sound services may end all responses in that way.
     */
    public void onUnconfirmed() {
        failureRate += FAILURE_WEIGHT * (1 - failureRate);
    }

    /**
     * Returns whether the upstream may get a request.
     *
     * @param inFlight requests that the gateway has in progress at the upstream
     * @param nowMs current time, in milliseconds
     * @return {@code false} while the upstream is ejected, or while its single probe request is in progress
     */
    public boolean admits(int inFlight, long nowMs) {
        return nowMs >= ejectedUntilMs && (!probing || inFlight == 0);
    }

    /**
     * Returns the mean time to the first part of a response.
     *
     * @return the time in milliseconds, 0 before the first response
     */
    public double latencyMs() {
        return latencyMs;
    }

    /**
     * Returns the recent fraction of failed requests.
     *
     * @return the fraction, from 0 to 1
     */
    public double failureRate() {
        return failureRate;
    }
}
