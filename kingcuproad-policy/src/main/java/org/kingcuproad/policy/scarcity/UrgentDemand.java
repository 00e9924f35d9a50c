package org.kingcuproad.policy.scarcity;

import java.util.Map;
import java.util.TreeMap;

/**
 * Rate at which requests of each priority arrive.
 *
 * <p>Answers the load in which urgent requests take most of the capacity: a less urgent one that is queued waits also
 * for urgent ones that have yet to arrive, and would otherwise be refused only at its start deadline.
 */
public final class UrgentDemand {

    /** Short enough to follow a burst of 3 s. */
    private static final double WINDOW_MS = 1_000;

    /**
     * Bounds the effect on the expected wait. With 0.1, less urgent requests were refused that could have been served,
     * since the urgent ones that arrive are refused in part, too.
     */
    private static final double MIN_FREE_SHARE = 0.5;

    private final TreeMap<Integer, RecentShare> arrivals = new TreeMap<>();

    /** Creates a demand without arrivals. */
    public UrgentDemand() {}

    /**
     * Records the arrival of a request.
     *
     * @param priority its priority, 0 is the highest
     * @param nowMs current time, in milliseconds
     */
    public void onArrival(int priority, long nowMs) {
        arrivals.computeIfAbsent(priority, unused -> new RecentShare(WINDOW_MS)).add(true, nowMs);
    }

    /**
     * Returns the share of the capacity that more urgent requests leave.
     *
     * @param priority priority of the request that waits
     * @param slotIntervalMs mean interval in which slots become free, in milliseconds
     * @param nowMs current time, in milliseconds
     * @return the share, above 0 and at most 1
     */
    public double freeShare(int priority, double slotIntervalMs, long nowMs) {
        double arrivalsPerMs = arrivals.headMap(priority).entrySet().stream()
                .map(Map.Entry::getValue)
                .mapToDouble(arrived -> arrived.decided(nowMs) / WINDOW_MS)
                .sum();
        return Math.clamp(1 - arrivalsPerMs * slotIntervalMs, MIN_FREE_SHARE, 1.0);
    }
}
