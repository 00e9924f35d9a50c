package org.kingcuproad.policy.admission;

/**
 * Running estimate of the 95th percentile of the time from dispatch to first token.
 *
 * <p>Admission control subtracts the estimate from a request's first-token limit. With a mean, half of the admitted
 * requests would miss their limit under overload. Without observations the estimate decays, because a high value could
 * otherwise refuse all requests and thus never be corrected.
 */
public final class LatencyQuantile {

    private static final double QUANTILE = 0.95;

    /** Relative step size of the estimate; 37 consecutive slower observations double it. */
    private static final double RELATIVE_STEP = 0.02;

    /** Time constant of the decay; without observations the estimate halves in about 1.4 s. */
    private static final double DECAY_TIME_CONSTANT_MS = 2_000;

    private final double minMs;
    private double valueMs;
    private long lastMs;

    /**
     * Creates an estimate that starts at its lower bound.
     *
     * @param minMs initial value and lower bound, in milliseconds; greater than 0
     */
    public LatencyQuantile(double minMs) {
        this.minMs = minMs;
        this.valueMs = minMs;
    }

    /**
     * Adds an observation.
     *
     * @param latencyMs time from dispatch to first token, in milliseconds
     * @param nowMs current time, in milliseconds
     */
    public void add(double latencyMs, long nowMs) {
        double direction = latencyMs > valueMs ? QUANTILE : QUANTILE - 1;
        valueMs = Math.max(minMs, valueMs * (1 + RELATIVE_STEP * direction));
        lastMs = nowMs;
    }

    /**
     * Returns the estimate.
     *
     * @param nowMs current time, in milliseconds
     * @return the estimated 95th percentile, in milliseconds, decayed by the age of the last observation
     */
    public double valueMs(long nowMs) {
        return valueMs * Math.exp(-Math.max(0, nowMs - lastMs) / DECAY_TIME_CONSTANT_MS);
    }
}
