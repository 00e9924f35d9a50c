package org.kingcuproad.policy.scarcity;

/** Share of the requests decided recently that were served; older decisions count exponentially less. */
final class RecentShare {

    private final double windowMs;
    private double decided;
    private double served;
    private long lastMs;

    RecentShare(double windowMs) {
        this.windowMs = windowMs;
    }

    void add(boolean wasServed, long nowMs) {
        double kept = kept(nowMs);
        decided = decided * kept + 1;
        served = served * kept + (wasServed ? 1 : 0);
        lastMs = Math.max(lastMs, nowMs);
    }

    /** Returns the number of decisions that still count. */
    double decided(long nowMs) {
        return decided * kept(nowMs);
    }

    /** Returns the share that was served, 1 before the first decision. */
    double share() {
        return decided == 0 ? 1 : served / decided;
    }

    private double kept(long nowMs) {
        return Math.exp(-Math.max(0, nowMs - lastMs) / windowMs);
    }
}
