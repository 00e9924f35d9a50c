package org.kingcuproad.policy.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Compares what each workspace asks for and gets with its fair share among the workspaces that were active lately.
 *
 * @param <T> the entry's type of request
 */
final class DemandMeter<T> {

    /**
     * Long enough for about ten requests of a small workspace at one entry, so that chance does not look like excess.
     */
    static final double WINDOW_MS = 10_000;

    /** A workspace below twice its fair share is not held back; equal workspaces differ by less than this by chance. */
    private static final double EXCESS = 2;

    /** A workspace below this part of all demand cannot crowd out others, however small its share; bounds the scan. */
    private static final double MIN_PART = 0.05;

    /** Workspaces are forgotten when their demand has faded to 5% of a request. */
    private static final long ACTIVE_MS = 3 * (long) WINDOW_MS;

    private final DecayingSum offered = new DecayingSum(WINDOW_MS);
    private final DecayingSum served = new DecayingSum(WINDOW_MS);
    private final Map<Flow<T>, Active> active = new LinkedHashMap<>(16, 0.75f, true);
    private long activeWeight;

    void offered(Flow<T> flow, double cost, long nowMs) {
        offered.add(cost, nowMs);
        flow.offered().add(cost, nowMs);
        int weight = flow.share().weight();
        Active previous = active.put(flow, new Active(nowMs, weight));
        activeWeight += weight - (previous == null ? 0 : previous.weight());
        expire(nowMs);
    }

    void served(Flow<T> flow, double cost, long nowMs) {
        served.add(cost, nowMs);
        flow.served().add(cost, nowMs);
    }

    private void expire(long nowMs) {
        Iterator<Active> oldest = active.values().iterator();
        Active next = oldest.next();
        while (nowMs - next.lastMs() > ACTIVE_MS) {
            activeWeight -= next.weight();
            oldest.remove();
            next = oldest.next();
        }
    }

    /**
     * Tells whether a workspace asks for far more than its fair share and already gets at least that share.
     *
     * @param flow a workspace with waiting requests
     * @param nowMs current time, in milliseconds
     * @return whether it should leave the reserve to others
     */
    boolean exceedsShare(Flow<T> flow, long nowMs) {
        double part = flow.offered().value(nowMs) / offered.value(nowMs);
        double fairPart = (double) flow.share().weight() / Math.max(1, activeWeight);
        return part > MIN_PART
                && part > EXCESS * fairPart
                && flow.served().value(nowMs) >= fairPart * served.value(nowMs);
    }

    /**
     * Last activity of a workspace.
     *
     * @param lastMs time of the last offer, in milliseconds
     * @param weight weight that the sum contains
     */
    private record Active(long lastMs, int weight) {}
}
