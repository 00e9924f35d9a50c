package org.kingcuproad.policy.gateway;

/**
 * How many requests may be at an upstream when several gateways use it.
 *
 * <p>Gateways tell one another what they have at each upstream. While all do, the places are first come, first served.
 * For each one that is silent, an equal part of the places is left free, since it may be using them.
 */
public final class PlaceLimit {

    /** A gateway that hears no other one may still use this many places, or nothing would be served. */
    private static final int LEAST_OWN = 2;

    private PlaceLimit() {}

    /**
     * Computes the limit.
     *
     * @param slots requests that the upstream works on at the same time
     * @param heard other gateways that told recently what they have
     * @param silent other gateways that are known but silent
     * @param own requests of this gateway at the upstream
     * @param told requests of the other gateways at the upstream
     * @return largest number of requests to be there, those of the silent gateways not counted
     */
    public static int of(int slots, int heard, int silent, int own, int told) {
        int gateways = heard + silent + 1;
        int reserved = slots * silent / gateways;
        return Math.max(slots - reserved, own >= LEAST_OWN ? 0 : own + told + 1);
    }
}
