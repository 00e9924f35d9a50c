package org.kingcuproad.policy.gateway;

/**
 * Limits the number of concurrent requests at an upstream that several gateways share.
 *
 * <p>Gateways report to one another how many requests they have at each upstream. While all of them report, slots are
 * allocated first come, first served. For each gateway that doesn't report, an equal share of the slots is left free,
 * because it may be using them.
 */
public final class ConcurrencyLimit {

    /**
     * Number of requests that a gateway may always have at an upstream, so that a gateway that receives no reports can
     * still serve requests.
     */
    private static final int MIN_OWN_REQUESTS = 2;

    private ConcurrencyLimit() {}

    /**
     * Computes the limit.
     *
     * @param slots requests that the upstream processes concurrently
     * @param reportingPeers other gateways that reported their requests recently
     * @param silentPeers other gateways that are known but have not reported recently
     * @param ownInFlight requests of this gateway at the upstream
     * @param peersInFlight requests at the upstream that the other gateways reported
     * @return maximum number of requests at the upstream, not counting those of the silent gateways
     */
    public static int of(int slots, int reportingPeers, int silentPeers, int ownInFlight, int peersInFlight) {
        int gateways = reportingPeers + silentPeers + 1;
        int reservedSlots = slots * silentPeers / gateways;
        return Math.max(slots - reservedSlots, ownInFlight >= MIN_OWN_REQUESTS ? 0 : ownInFlight + peersInFlight + 1);
    }
}
