package org.kingcuproad.policy.admission;

/**
 * Decides whether to send a hedge, a second attempt sent while the first is still unanswered.
 *
 * <p>The delay follows a running estimate of a high quantile of the time to first token, so that only the few unusually
 * slow requests are hedged. Only idempotent requests are hedged, and each hedge is charged to the retry budget.
 */
public final class HedgePolicy {

    private final RetryBudget budget;
    private final LatencyQuantile firstTokenMs;
    private final double minDelayMs;

    /**
     * Creates a policy that charges hedges to a retry budget.
     *
     * @param budget budget shared with retries
     * @param firstTokenMs estimate of the 95th percentile of the time to first token; at this quantile hedges go to the
     *     slowest 5% of requests, which leaves half of a 10% budget for retries
     * @param minDelayMs shortest delay before a hedge, in milliseconds
     */
    public HedgePolicy(RetryBudget budget, LatencyQuantile firstTokenMs, double minDelayMs) {
        this.budget = budget;
        this.firstTokenMs = firstTokenMs;
        this.minDelayMs = minDelayMs;
    }

    /**
     * Returns the time after which an unanswered attempt may be hedged.
     *
     * @param nowMs current time, in milliseconds
     * @return time since the attempt was sent, in milliseconds
     */
    public double delayMs(long nowMs) {
        return Math.max(minDelayMs, firstTokenMs.valueMs(nowMs));
    }

    /**
     * Decides whether to hedge an attempt now and, if so, charges the budget.
     *
     * @param idempotent whether the request may be executed more than once
     * @param answered whether any byte of the response has arrived
     * @param waitedMs time since the attempt was sent, in milliseconds
     * @param nowMs current time, in milliseconds
     * @return whether a second attempt may be sent to another upstream
     */
    public boolean tryHedge(boolean idempotent, boolean answered, double waitedMs, long nowMs) {
        return idempotent && !answered && waitedMs >= delayMs(nowMs) && budget.tryExtraAttempt();
    }
}
