package org.kingcuproad.policy.coldstart;

/**
 * Whether one upstream is cold, and when it may get its next request from this gateway.
 *
 * <p>It answers the load of an upstream that starts, or returns, while the others are busy: it is empty, so without a
 * limit each gateway would prefer it for all new requests. The remaining time is counted from its report by the local
 * clock, since clocks of other VMs may differ.
 */
public final class ColdStart {

    private long sinceMs;
    private long untilMs = Long.MIN_VALUE;
    private double phase;

    /** Creates the state of an upstream that has not reported to be cold. */
    public ColdStart() {}

    /**
     * Records what the upstream reported most recently.
     *
     * @param remainingMs time for which it is still cold, in milliseconds; 0 if it is not
     * @param draw uniformly distributed random number from 0 to 1; spreads the first requests of the gateways, which
     *     learn of the upstream at the same time
     * @param nowMs current time, in milliseconds
     */
    public void onReport(long remainingMs, double draw, long nowMs) {
        if (remainingMs > 0 && !cold(nowMs)) {
            sinceMs = nowMs;
            phase = draw;
        }
        untilMs = nowMs + remainingMs;
    }

    /**
     * Returns whether the upstream is cold.
     *
     * @param nowMs current time, in milliseconds
     * @return {@code true} until the time that it reported has passed
     */
    public boolean cold(long nowMs) {
        return nowMs < untilMs;
    }

    /**
     * Returns the number of slots of the upstream that may be used. It grows from 1 to all of them in the time for
     * which the upstream is cold, since the rate that it tolerates alone would let it get all new requests.
     *
     * @param slots slots of the upstream
     * @param nowMs current time, in milliseconds
     * @return a number from 1 to {@code slots}
     */
    public int usableSlots(int slots, long nowMs) {
        return cold(nowMs) ? (int) Math.max(1, slots * (nowMs - sinceMs) / (untilMs - sinceMs)) : slots;
    }

    /**
     * Returns the earliest time of the next request.
     *
     * @param intervalMs minimum interval between requests while the upstream is cold, in milliseconds; 0 for none
     * @param lastSendMs time of the last request that this gateway sent to it, in milliseconds
     * @param nowMs current time, in milliseconds
     * @return the time in milliseconds; not later than the present if a request may be sent now
     */
    public long nextSendMs(double intervalMs, long lastSendMs, long nowMs) {
        if (!cold(nowMs)) {
            return nowMs;
        }
        long pacedMs = (long) Math.ceil(Math.max(lastSendMs + intervalMs, sinceMs + phase * intervalMs));
        return Math.min(untilMs, pacedMs);
    }
}
