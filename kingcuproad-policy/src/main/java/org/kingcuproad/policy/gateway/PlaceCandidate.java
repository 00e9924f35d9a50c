package org.kingcuproad.policy.gateway;

/**
 * An upstream as the choice of a place sees it.
 *
 * @param inFlight requests that all gateways are known to have there
 * @param limit largest number of requests to have there
 * @param unreadTokens prompt tokens of requests there that have not produced a first event
 * @param latencyMs mean time to the first part of an answer, in milliseconds; 0 if unknown
 * @param failureShare recent share of failures, from 0 to 1
 * @param pace how many times longer than usual it takes for the same work
 * @param sameDataCentre whether it stands in the gateway's data centre
 * @param admitted whether it may get a request at all
 */
public record PlaceCandidate(
        int inFlight,
        int limit,
        double unreadTokens,
        double latencyMs,
        double failureShare,
        double pace,
        boolean sameDataCentre,
        boolean admitted) {

    /**
     * Tells whether it has room.
     *
     * @return {@code true} if a request may go there now
     */
    public boolean hasRoom() {
        return admitted && inFlight < limit;
    }
}
