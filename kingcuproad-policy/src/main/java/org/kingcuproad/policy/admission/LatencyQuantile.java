package org.kingcuproad.policy.admission;

/**
 * Running estimate of the 95th percentile of the time from dispatch to first token.
 *
 * <p>Admission subtracts it from a request's limit. A mean would let half of the admitted requests miss their limit
 * under overload. Without observations the estimate fades, so that a high value cannot refuse all requests forever.
 */
public final class LatencyQuantile {

    private static final double QUANTILE = 0.95;

    /** Relative step of the estimate; 37 slower observations in a row double it. */
    private static final double STEP = 0.02;

    /** The estimate halves in about 1.4 s without observations. */
    private static final double FADE_MS = 2_000;

    private final double minMs;
    private double valueMs;
    private long lastMs;

    /**
     * Creates an estimate.
     *
     * @param minMs lowest and first value, in milliseconds; greater than 0
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
        valueMs = Math.max(minMs, valueMs * (1 + STEP * direction));
        lastMs = nowMs;
    }

    /**
     * Returns the estimate.
     *
     * @param nowMs current time, in milliseconds
     * @return the 95th percentile, in milliseconds, lower if the last observation is old
     */
    public double valueMs(long nowMs) {
        return valueMs * Math.exp(-Math.max(0, nowMs - lastMs) / FADE_MS);
    }
}
