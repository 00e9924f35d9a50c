package org.kingcuproad.policy.gateway;

import java.util.Optional;
import org.kingcuproad.policy.enginegroup.GroupMember;
import org.kingcuproad.policy.enginegroup.GroupStanding;

/**
 * The state of an upstream that the selection for a request is based on.
 *
 * @param inFlight requests in progress at the upstream, of all gateways as far as known
 * @param limit maximum number of requests in progress at the upstream
 * @param pendingPrefillTokens prompt tokens of requests at the upstream that have not produced a first event
 * @param latencyMs mean time to the first part of a response, in milliseconds; 0 if unknown
 * @param failureRate recent fraction of failed requests, from 0 to 1
 * @param slowdown how many times longer than usual the upstream takes for the same work
 * @param sameDataCentre whether the upstream is in the gateway's data centre
 * @param eligible whether the upstream may get the request at all
 * @param group state of the group of engines that it belongs to, or empty if unknown
 */
public record UpstreamCandidate(
        int inFlight,
        int limit,
        double pendingPrefillTokens,
        double latencyMs,
        double failureRate,
        double slowdown,
        boolean sameDataCentre,
        boolean eligible,
        Optional<GroupStanding> group) {

    /**
     * Creates the state of an upstream that is not known to belong to a group.
     *
     * @param inFlight requests in progress at the upstream
     * @param limit maximum number of requests in progress
     * @param pendingPrefillTokens prompt tokens of requests that have not produced a first event
     * @param latencyMs mean time to the first part of a response, in milliseconds
     * @param failureRate recent fraction of failed requests
     * @param slowdown how many times longer than usual the upstream takes
     * @param sameDataCentre whether the upstream is in the gateway's data centre
     * @param eligible whether the upstream may get the request at all
     */
    public UpstreamCandidate(
            int inFlight,
            int limit,
            double pendingPrefillTokens,
            double latencyMs,
            double failureRate,
            double slowdown,
            boolean sameDataCentre,
            boolean eligible) {
        this(
                inFlight,
                limit,
                pendingPrefillTokens,
                latencyMs,
                failureRate,
                slowdown,
                sameDataCentre,
                eligible,
                Optional.empty());
    }

    GroupMember groupMember(double load) {
        return new GroupMember(group, load, limit, eligible, hasCapacity(), slowdown);
    }

    /**
     * Returns whether the upstream has capacity for another request.
     *
     * @return {@code true} if a request may be sent to it now
     */
    public boolean hasCapacity() {
        return eligible && inFlight < limit;
    }
}
