package org.kingcuproad.policy.admission;

/** Rate at which work leaves the queue, averaged with exponential decay. */
final class DepartureRate {

    private final double windowMs;
    private double decayedCost;
    private long lastMs;
    private long startMs;
    private boolean started;

    DepartureRate(double windowMs) {
        this.windowMs = windowMs;
    }

    void add(double cost, long nowMs) {
        if (!started) {
            started = true;
            startMs = nowMs;
            lastMs = nowMs;
        }
        decayedCost = decayedCost * Math.exp(-(nowMs - lastMs) / windowMs) + cost;
        lastMs = nowMs;
    }

    /**
     * Returns the rate.
     *
     * @param nowMs current time, in milliseconds
     * @return cost a millisecond, or infinity as long as too little is known to refuse anything
     */
    double costPerMs(long nowMs) {
        double ageMs = nowMs - startMs;
        if (!started || ageMs < windowMs / 4) {
            return Double.POSITIVE_INFINITY;
        }
        double covered = windowMs * (1 - Math.exp(-ageMs / windowMs));
        return decayedCost * Math.exp(-(nowMs - lastMs) / windowMs) / covered;
    }
}
