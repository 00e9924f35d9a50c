package org.kingcuproad.policy.routing;

/** Exponentially weighted moving average of irregularly spaced observations. */
public final class DecayingMean {

    /** Minimum weight of an observation, so that a burst of simultaneous observations still moves the mean. */
    private static final double MIN_WEIGHT = 0.05;

    private final double windowMs;
    private double mean;
    private long lastMs;
    private boolean known;

    /**
     * Creates a mean without observations.
     *
     * @param windowMs time constant, in milliseconds
     */
    public DecayingMean(double windowMs) {
        this.windowMs = windowMs;
    }

    /**
     * Adds an observation.
     *
     * @param value the observed value
     * @param nowMs current time, in milliseconds
     */
    public void add(double value, long nowMs) {
        double weight = known ? Math.max(MIN_WEIGHT, 1 - Math.exp(-(nowMs - lastMs) / windowMs)) : 1;
        mean += weight * (value - mean);
        lastMs = nowMs;
        known = true;
    }

    /**
     * Returns the mean.
     *
     * @return the mean, or 0 without observations
     */
    public double value() {
        return mean;
    }

    /**
     * Returns the weight of the last observation after its exponential decay.
     *
     * @param nowMs current time, in milliseconds
     * @return 1 immediately after an observation, decaying towards 0 with the time constant; 0 without observations
     */
    public double freshness(long nowMs) {
        return known ? Math.exp(-(nowMs - lastMs) / windowMs) : 0;
    }
}
