package org.kingcuproad.policy.scarcity;

import java.util.HashMap;
import java.util.Map;

/**
 * Minimum service rates of kinds, workspaces and large requests.
 *
 * <p>Answers the load in which the most urgent kinds alone need all of the capacity: without a minimum the least urgent
 * kind, a workspace of low priority, or the largest requests would not be served at all. Each gateway keeps the rates
 * of its own requests; if all of them are kept, so are those of all gateways together.
 */
public final class ServiceFloors {

    /** Callers judge service over some seconds; a burst lasts 3 to 5 s. */
    private static final double WINDOW_MS = 10_000;

    /** Number of recent decisions below which a rate is not known: with 4, chance put many requests first. */
    private static final double MIN_DECIDED = 15;

    /**
     * Callers require that each kind and workspace is served at least a quarter as often as all requests. The rates of
     * a single gateway are based on few requests, so that a fifth more is aimed at.
     */
    private static final double KIND_FLOOR = 0.3;

    /**
     * Callers require that the largest tenth of a kind is served at least half as often as the kind; the margin is the
     * same.
     */
    private static final double LARGE_FLOOR = 0.6;

    private final RecentShare all = new RecentShare(WINDOW_MS);
    private final Map<String, RecentShare> kinds = new HashMap<>();
    private final Map<String, RecentShare> largeOfKinds = new HashMap<>();
    private final Map<String, RecentShare> workspaces = new HashMap<>();

    /** Creates floors without any decision. */
    public ServiceFloors() {}

    /**
     * Records that a request was sent to an upstream for the first time, or refused.
     *
     * @param traits what the request belongs to
     * @param served whether it was sent
     * @param nowMs current time, in milliseconds
     */
    public void onDecided(RequestTraits traits, boolean served, long nowMs) {
        all.add(served, nowMs);
        of(kinds, traits.kind()).add(served, nowMs);
        of(workspaces, traits.workspace()).add(served, nowMs);
        if (traits.large()) {
            of(largeOfKinds, traits.kind()).add(served, nowMs);
        }
    }

    /**
     * Returns whether a request belongs to a kind, a workspace or a size that is served less often than callers
     * require.
     *
     * @param traits what the request belongs to
     * @param nowMs current time, in milliseconds
     * @return {@code true} if the request goes before more urgent ones
     */
    public boolean below(RequestTraits traits, long nowMs) {
        double floor = KIND_FLOOR * all.share();
        RecentShare kind = of(kinds, traits.kind());
        return below(kind, floor, nowMs)
                || below(of(workspaces, traits.workspace()), floor, nowMs)
                || (traits.large() && below(of(largeOfKinds, traits.kind()), LARGE_FLOOR * kind.share(), nowMs));
    }

    private static boolean below(RecentShare share, double floor, long nowMs) {
        return share.decided(nowMs) >= MIN_DECIDED && share.share() < floor;
    }

    private static RecentShare of(Map<String, RecentShare> shares, String name) {
        return shares.computeIfAbsent(name, unused -> new RecentShare(WINDOW_MS));
    }
}
