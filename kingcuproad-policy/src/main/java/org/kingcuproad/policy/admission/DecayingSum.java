package org.kingcuproad.policy.admission;

/** Exponentially decaying sum of request costs. */
final class DecayingSum {

    private final double windowMs;
    private double sum;
    private long lastMs;
    private long startMs;
    private boolean started;

    DecayingSum(double windowMs) {
        this.windowMs = windowMs;
    }

    void add(double cost, long nowMs) {
        if (!started) {
            started = true;
            startMs = nowMs;
            lastMs = nowMs;
        }
        sum = value(nowMs) + cost;
        lastMs = nowMs;
    }

    double value(long nowMs) {
        return sum * Math.exp(-(nowMs - lastMs) / windowMs);
    }

    /**
     * Returns the average cost per millisecond over the decay window.
     *
     * @param nowMs current time, in milliseconds
     * @return cost per millisecond; infinity during the first quarter of the window, while there is too little data to
     *     refuse requests
     */
    double costPerMs(long nowMs) {
        double ageMs = nowMs - startMs;
        if (!started || ageMs < windowMs / 4) {
            return Double.POSITIVE_INFINITY;
        }
        return value(nowMs) / (windowMs * (1 - Math.exp(-ageMs / windowMs)));
    }
}
