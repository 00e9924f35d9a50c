package org.kingcuproad.policy.gateway;

import java.util.OptionalLong;

/**
 * Decides whether a gateway that shuts down gracefully serves a request or rejects it at once.
 *
 * <p>This answers the load of a planned stop: clients keep sending requests on open connections until the gateway is
 * gone, and some of the responses take longer than the time that is left. A request that is rejected can be served by
 * another gateway; one that is cut off has cost its caller the time until then, and may not be repeatable.
 *
 * @param admitted whether the request is served
 * @param neededMs time that the request is expected to need, in milliseconds
 */
public record ShutdownAdmissionDecision(boolean admitted, long neededMs) {

    /**
     * Decides about a request.
     *
     * <p>While the load balancer may still send clients, which have no other choice, the longest recent response tells
     * how long the request takes. Later requests come only on connections that were open before, and their clients are
     * served elsewhere as fast; these are served only if their deadline passes before the gateway stops.
     *
     * @param removedFromBalancer whether the load balancer has stopped sending new connections
     * @param untilStopMs time until the gateway ends all requests, in milliseconds
     * @param timeAllowedMs time until the deadline of the request, in milliseconds
     * @param longestRecentMs longest recent response to requests of the same kind, or empty if there was none
     * @return the decision
     */
    public static ShutdownAdmissionDecision of(
            boolean removedFromBalancer, long untilStopMs, long timeAllowedMs, OptionalLong longestRecentMs) {
        long neededMs =
                removedFromBalancer ? timeAllowedMs : Math.min(timeAllowedMs, longestRecentMs.orElse(timeAllowedMs));
        return new ShutdownAdmissionDecision(neededMs <= untilStopMs, neededMs);
    }
}
