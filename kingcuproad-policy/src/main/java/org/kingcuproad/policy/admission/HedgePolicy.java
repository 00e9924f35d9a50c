package org.kingcuproad.policy.admission;

/**
 * Decides whether to send a second attempt while the first has not answered.
 *
 * <p>The delay follows a running estimate of a high quantile of the time to first token, so that hedges go to the few
 * requests that are slower than usual. Only idempotent requests are hedged, and each hedge is paid from the retry
 * budget.
 */
public final class HedgePolicy {

    /** Requests slower than this quantile may be hedged, which leaves half of a 10% budget to retries. */
    private static final double QUANTILE = 0.95;

    /** Relative step of the estimate; 37 slower observations in a row double it. */
    private static final double STEP = 0.02;

    private final RetryBudget budget;
    private final double minDelayMs;
    private double quantileMs;

    /**
     * Creates a policy.
     *
     * @param budget budget shared with retries
     * @param minDelayMs shortest delay before a hedge, and the first estimate, in milliseconds
     */
    public HedgePolicy(RetryBudget budget, double minDelayMs) {
        this.budget = budget;
        this.minDelayMs = minDelayMs;
        this.quantileMs = minDelayMs;
    }

    /**
     * Notes the time to first token of an attempt.
     *
     * @param latencyMs the time, in milliseconds
     */
    public void onFirstToken(double latencyMs) {
        double direction = latencyMs > quantileMs ? QUANTILE : QUANTILE - 1;
        quantileMs = Math.max(minDelayMs, quantileMs * (1 + STEP * direction));
    }

    /**
     * Returns when an attempt without an answer may be hedged.
     *
     * @return time since the attempt was sent, in milliseconds
     */
    public double delayMs() {
        return quantileMs;
    }

    /**
     * Decides whether to hedge an attempt now, and pays for it.
     *
     * @param idempotent whether the request may run more than once
     * @param answered whether any byte of a response arrived
     * @param waitedMs time since the attempt was sent, in milliseconds
     * @return whether a second attempt may be sent to another upstream
     */
    public boolean tryHedge(boolean idempotent, boolean answered, double waitedMs) {
        return idempotent && !answered && waitedMs >= quantileMs && budget.tryExtraAttempt();
    }
}
