package org.kingcuproad.policy.admission;

/**
 * Decides whether to send a second attempt while the first has not answered.
 *
 * <p>The delay follows a running estimate of a high quantile of the time to first token, so that hedges go to the few
 * requests that are slower than usual. Only idempotent requests are hedged, and each hedge is paid from the retry
 * budget.
 */
public final class HedgePolicy {

    private final RetryBudget budget;
    private final LatencyQuantile firstTokenMs;
    private final double minDelayMs;

    /**
     * Creates a policy.
     *
     * @param budget budget shared with retries
     * @param firstTokenMs estimate of the time to first token; half of a 10% budget remains for retries, because hedges
     *     go to the slowest 5% of requests
     * @param minDelayMs shortest delay before a hedge, in milliseconds
     */
    public HedgePolicy(RetryBudget budget, LatencyQuantile firstTokenMs, double minDelayMs) {
        this.budget = budget;
        this.firstTokenMs = firstTokenMs;
        this.minDelayMs = minDelayMs;
    }

    /**
     * Returns when an attempt without an answer may be hedged.
     *
     * @param nowMs current time, in milliseconds
     * @return time since the attempt was sent, in milliseconds
     */
    public double delayMs(long nowMs) {
        return Math.max(minDelayMs, firstTokenMs.valueMs(nowMs));
    }

    /**
     * Decides whether to hedge an attempt now, and pays for it.
     *
     * @param idempotent whether the request may run more than once
     * @param answered whether any byte of a response arrived
     * @param waitedMs time since the attempt was sent, in milliseconds
     * @param nowMs current time, in milliseconds
     * @return whether a second attempt may be sent to another upstream
     */
    public boolean tryHedge(boolean idempotent, boolean answered, double waitedMs, long nowMs) {
        return idempotent && !answered && waitedMs >= delayMs(nowMs) && budget.tryExtraAttempt();
    }
}
