package org.kingcuproad.policy.gateway;

/**
 * Contact of a gateway with the store. It tells an outage of the store, during which entries of running upstreams
 * expire, from an interruption of the gateway's own connections, during which the store serves others.
 *
 * <p>An interruption counts as an outage unless another gateway has had steady contact all the while.
 */
public final class StoreContact {

    /**
     * Time without contact to the store after which entries may have expired; shorter than three of the shortest
     * heartbeat intervals. It is longer than the time after which a silent connection to the store is replaced, since
     * entries that are removed meanwhile have been removed for good.
     */
    public static final long STORE_OUTAGE_MS = 2_600;

    /**
     * Longest time between two responses of a store that serves all the while: the longest watch, and the delay of the
     * call after it. No outage within it is long enough for entries to expire.
     */
    private static final long MAX_STEADY_INTERVAL_MS = 2_000;

    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private long restoredMs = NEVER_MS;
    private long steadySinceMs = NEVER_MS;
    private long lastMs = NEVER_MS;
    private long lastBeforeInterruptionMs = NEVER_MS;
    private long lastOfSteadyPeerMs = NEVER_MS;

    /**
     * What a gateway tells the others about its contact with the store.
     *
     * @param steadyMs time from the first to the last response of the present steady contact, in milliseconds
     * @param ageMs time since the last response of the store, in milliseconds
     */
    public record Report(long steadyMs, long ageMs) {}

    /**
     * Records a response from the store.
     *
     * @param nowMs current time, in milliseconds
     * @return whether the response ends an interruption in which entries may have expired
     */
    public boolean onResponse(long nowMs) {
        boolean interrupted = interrupted(nowMs);
        if (interrupted) {
            lastBeforeInterruptionMs = lastMs;
            restoredMs = nowMs;
        }
        if (nowMs - lastMs > MAX_STEADY_INTERVAL_MS) {
            steadySinceMs = nowMs;
        }
        lastMs = nowMs;
        return interrupted;
    }

    /**
     * Records the report of another gateway.
     *
     * @param report the report
     * @param nowMs current time, in milliseconds
     */
    public void onPeerReport(Report report, long nowMs) {
        long peerLastMs = nowMs - report.ageMs();
        long peerSinceMs = peerLastMs - report.steadyMs();
        if (peerSinceMs <= (interrupted(nowMs) ? lastMs : lastBeforeInterruptionMs)) {
            lastOfSteadyPeerMs = Math.max(lastOfSteadyPeerMs, peerLastMs);
        }
    }

    /**
     * Returns whether no entry has expired because of the latest interruption.
     *
     * @return whether the store has served another gateway steadily throughout
     */
    public boolean outageExcluded() {
        return lastOfSteadyPeerMs >= restoredMs - MAX_STEADY_INTERVAL_MS;
    }

    /**
     * Returns what to tell other gateways.
     *
     * @param nowMs current time, in milliseconds
     * @return the report
     */
    public Report report(long nowMs) {
        return new Report(lastMs - steadySinceMs, nowMs - lastMs);
    }

    private boolean interrupted(long nowMs) {
        return nowMs - lastMs > STORE_OUTAGE_MS;
    }
}
