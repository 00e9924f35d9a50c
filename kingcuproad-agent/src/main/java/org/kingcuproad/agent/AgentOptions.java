package org.kingcuproad.agent;

import org.kingcuproad.policy.claim.ExecutionRecord;

/**
 * What an agent is told at its start.
 *
 * @param upstream name of the upstream beside the agent
 * @param upstreamUrl base URL of the upstream, without a slash at the end
 * @param reportsLoad whether the upstream serves the load report of a model engine
 * @param host IP address to listen on
 * @param port port of the gRPC service, or 0 for any free one
 * @param adminPort port of the admin endpoints, or 0 for any free one
 * @param incarnation random number that distinguishes this start of the agent from all others
 * @param maxConcurrent requests that may run at the same time; further ones wait
 * @param maxQueued requests that may wait for one of these places
 * @param maxRemembered requests that one incarnation remembers; then the incarnation changes
 * @param claims where the claims of keyed orders are kept
 * @param group place in the model group
 * @param traceSampleRatio ratio of the traces begun at this agent that are recorded, from 0 to 1
 * @param timing intervals and limits of time
 */
public record AgentOptions(
        String upstream,
        String upstreamUrl,
        boolean reportsLoad,
        String host,
        int port,
        int adminPort,
        long incarnation,
        int maxConcurrent,
        int maxQueued,
        int maxRemembered,
        ClaimOptions claims,
        GroupOptions group,
        double traceSampleRatio,
        AgentTiming timing) {

    private static final int DEFAULT_MAX_CONCURRENT = 32;
    // Entries limit what they send by reports that are up to a second old; the queue takes the excess of that second.
    private static final int DEFAULT_MAX_QUEUED = 128;

    /**
     * Creates options of an agent on free ports of the loopback address.
     *
     * @param upstream name of the upstream beside the agent
     * @param upstreamUrl base URL of the upstream, without a slash at the end
     * @param incarnation random number that distinguishes this start of the agent from all others
     * @return the options
     */
    public static AgentOptions of(String upstream, String upstreamUrl, long incarnation) {
        return new AgentOptions(
                upstream,
                upstreamUrl,
                false,
                "127.0.0.1",
                0,
                0,
                incarnation,
                DEFAULT_MAX_CONCURRENT,
                DEFAULT_MAX_QUEUED,
                ExecutionRecord.MAX_REMEMBERED,
                ClaimOptions.none(),
                GroupOptions.none(),
                0,
                AgentTiming.standard());
    }

    /**
     * Replaces the addresses.
     *
     * @param newHost IP address to listen on
     * @param newPort port of the gRPC service, or 0 for any free one
     * @param newAdminPort port of the admin endpoints, or 0 for any free one
     * @return a copy with the addresses
     */
    public AgentOptions withListen(String newHost, int newPort, int newAdminPort) {
        return new AgentOptions(
                upstream,
                upstreamUrl,
                reportsLoad,
                newHost,
                newPort,
                newAdminPort,
                incarnation,
                maxConcurrent,
                maxQueued,
                maxRemembered,
                claims,
                group,
                traceSampleRatio,
                timing);
    }

    /**
     * Sets whether the agent asks the upstream for its load.
     *
     * @param newReportsLoad whether the upstream serves the load report of a model engine
     * @return a copy with the choice
     */
    public AgentOptions withReportsLoad(boolean newReportsLoad) {
        return new AgentOptions(
                upstream,
                upstreamUrl,
                newReportsLoad,
                host,
                port,
                adminPort,
                incarnation,
                maxConcurrent,
                maxQueued,
                maxRemembered,
                claims,
                group,
                traceSampleRatio,
                timing);
    }

    /**
     * Replaces the limits of requests.
     *
     * @param newMaxConcurrent requests that may run at the same time
     * @param newMaxQueued requests that may wait
     * @return a copy with the limits
     */
    public AgentOptions withCapacity(int newMaxConcurrent, int newMaxQueued) {
        return new AgentOptions(
                upstream,
                upstreamUrl,
                reportsLoad,
                host,
                port,
                adminPort,
                incarnation,
                newMaxConcurrent,
                newMaxQueued,
                maxRemembered,
                claims,
                group,
                traceSampleRatio,
                timing);
    }

    /**
     * Replaces the number of remembered requests.
     *
     * @param newMaxRemembered requests that one incarnation remembers
     * @return a copy with the number
     */
    public AgentOptions withMaxRemembered(int newMaxRemembered) {
        return new AgentOptions(
                upstream,
                upstreamUrl,
                reportsLoad,
                host,
                port,
                adminPort,
                incarnation,
                maxConcurrent,
                maxQueued,
                newMaxRemembered,
                claims,
                group,
                traceSampleRatio,
                timing);
    }

    /**
     * Replaces the place of the claims.
     *
     * @param newClaims where the claims of keyed orders are kept
     * @return a copy with the place
     */
    public AgentOptions withClaims(ClaimOptions newClaims) {
        return new AgentOptions(
                upstream,
                upstreamUrl,
                reportsLoad,
                host,
                port,
                adminPort,
                incarnation,
                maxConcurrent,
                maxQueued,
                maxRemembered,
                newClaims,
                group,
                traceSampleRatio,
                timing);
    }

    /**
     * Replaces the place in the model group.
     *
     * @param newGroup place in the model group
     * @return a copy with the place
     */
    public AgentOptions withGroup(GroupOptions newGroup) {
        return new AgentOptions(
                upstream,
                upstreamUrl,
                reportsLoad,
                host,
                port,
                adminPort,
                incarnation,
                maxConcurrent,
                maxQueued,
                maxRemembered,
                claims,
                newGroup,
                traceSampleRatio,
                timing);
    }

    /**
     * Replaces the ratio of recorded traces.
     *
     * @param newTraceSampleRatio ratio of the traces begun at this agent that are recorded, from 0 to 1
     * @return a copy with the ratio
     */
    public AgentOptions withTraceSampleRatio(double newTraceSampleRatio) {
        return new AgentOptions(
                upstream,
                upstreamUrl,
                reportsLoad,
                host,
                port,
                adminPort,
                incarnation,
                maxConcurrent,
                maxQueued,
                maxRemembered,
                claims,
                group,
                newTraceSampleRatio,
                timing);
    }

    /**
     * Replaces the intervals and limits of time.
     *
     * @param newTiming intervals and limits of time
     * @return a copy with the timing
     */
    public AgentOptions withTiming(AgentTiming newTiming) {
        return new AgentOptions(
                upstream,
                upstreamUrl,
                reportsLoad,
                host,
                port,
                adminPort,
                incarnation,
                maxConcurrent,
                maxQueued,
                maxRemembered,
                claims,
                group,
                traceSampleRatio,
                newTiming);
    }
}
