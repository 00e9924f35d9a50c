package org.kingcuproad.agent;

import org.kingcuproad.policy.claim.ExecutionRecord;

/**
 * Configuration of an agent.
 *
 * @param upstream name of the upstream that the agent serves
 * @param upstreamUrl base URL of the upstream, without a trailing slash
 * @param reportsLoad whether the upstream serves the load report of a model engine
 * @param host IP address to listen on
 * @param port port of the gRPC service, or 0 for an ephemeral port
 * @param adminPort port of the admin endpoints, or 0 for an ephemeral port
 * @param incarnation random number that identifies this start of the agent
 * @param maxConcurrent maximum number of requests that run concurrently; further ones are queued
 * @param maxQueued maximum number of queued requests
 * @param maxRemembered maximum number of requests that one incarnation remembers; then the incarnation changes
 * @param claims store for the claims of requests with an idempotency key
 * @param group membership in a model group
 * @param traceSampleRatio fraction of the traces started at this agent that are sampled, from 0 to 1
 * @param timing intervals and timeouts
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
    // Entries limit their requests by reports that are up to 1 s old; the queue absorbs the excess of that second.
    private static final int DEFAULT_MAX_QUEUED = 128;

    /**
     * Creates options of an agent on ephemeral ports of the loopback address.
     *
     * @param upstream name of the upstream that the agent serves
     * @param upstreamUrl base URL of the upstream, without a trailing slash
     * @param incarnation random number that identifies this start of the agent
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
     * Sets the listen address and ports.
     *
     * @param newHost IP address to listen on
     * @param newPort port of the gRPC service, or 0 for an ephemeral port
     * @param newAdminPort port of the admin endpoints, or 0 for an ephemeral port
     * @return a copy with the listen address and ports
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
     * Sets whether the agent polls the upstream for its load.
     *
     * @param newReportsLoad whether the upstream serves the load report of a model engine
     * @return a copy with the new value
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
     * Sets the limits on concurrent and queued requests.
     *
     * @param newMaxConcurrent maximum number of requests that run concurrently
     * @param newMaxQueued maximum number of queued requests
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
     * Sets the limit on remembered requests.
     *
     * @param newMaxRemembered maximum number of requests that one incarnation remembers
     * @return a copy with the limit
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
     * Sets the store for claims.
     *
     * @param newClaims store for the claims of requests with an idempotency key
     * @return a copy with the store
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
     * Sets the membership in a model group.
     *
     * @param newGroup membership in a model group
     * @return a copy with the membership
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
     * Sets the sampling ratio of traces.
     *
     * @param newTraceSampleRatio fraction of the traces started at this agent that are sampled, from 0 to 1
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
     * Sets the intervals and timeouts.
     *
     * @param newTiming intervals and timeouts
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
