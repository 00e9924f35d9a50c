package org.kingcuproad.policy.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Compares the offered and served load of each workspace with its fair share among the recently active workspaces.
 *
 * @param <T> type of the entry's request objects
 */
final class DemandMeter<T> {

    /**
     * Decay time constant. Covers about ten requests of a small workspace at one entry, so that random variation is not
     * mistaken for excess demand.
     */
    static final double WINDOW_MS = 10_000;

    /**
     * Multiple of the fair share above which a workspace is throttled; the demand of equal workspaces varies by less.
     */
    private static final double EXCESS_FACTOR = 2;

    /**
     * Fraction of the total demand below which a workspace is never throttled: it cannot crowd out others, however
     * small its share. This also bounds the number of flows that a poll skips.
     */
    private static final double MIN_DEMAND_RATIO = 0.05;

    /** Inactivity after which a workspace is dropped: its demand has then decayed to 5% of one request. */
    private static final long ACTIVITY_EXPIRY_MS = 3 * (long) WINDOW_MS;

    private final DecayingSum offered = new DecayingSum(WINDOW_MS);
    private final DecayingSum served = new DecayingSum(WINDOW_MS);
    private final Map<Flow<T>, Activity> activities = new LinkedHashMap<>(16, 0.75f, true);
    private long activeWeight;

    void offered(Flow<T> flow, double cost, long nowMs) {
        offered.add(cost, nowMs);
        flow.offered().add(cost, nowMs);
        int weight = flow.share().weight();
        Activity previous = activities.put(flow, new Activity(nowMs, weight));
        activeWeight += weight - (previous == null ? 0 : previous.weight());
        expire(nowMs);
    }

    void served(Flow<T> flow, double cost, long nowMs) {
        served.add(cost, nowMs);
        flow.served().add(cost, nowMs);
    }

    private void expire(long nowMs) {
        Iterator<Activity> oldest = activities.values().iterator();
        Activity next = oldest.next();
        while (nowMs - next.lastMs() > ACTIVITY_EXPIRY_MS) {
            activeWeight -= next.weight();
            oldest.remove();
            next = oldest.next();
        }
    }

    /**
     * Returns whether a workspace offers far more than its fair share of the load and is already served at least that
     * share.
     *
     * @param flow flow of a workspace with queued requests
     * @param nowMs current time, in milliseconds
     * @return whether the reserved capacity must be left to other workspaces
     */
    boolean exceedsShare(Flow<T> flow, long nowMs) {
        double demandRatio = flow.offered().value(nowMs) / offered.value(nowMs);
        double fairRatio = (double) flow.share().weight() / Math.max(1, activeWeight);
        return demandRatio > MIN_DEMAND_RATIO
                && demandRatio > EXCESS_FACTOR * fairRatio
                && flow.served().value(nowMs) >= fairRatio * served.value(nowMs);
    }

    /**
     * Most recent demand of a workspace.
     *
     * @param lastMs time of the last offered request, in milliseconds
     * @param weight weight that was added to {@code activeWeight}
     */
    private record Activity(long lastMs, int weight) {}
}
