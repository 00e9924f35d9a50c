package org.kingcuproad.gateway;

import java.util.List;
import java.util.OptionalDouble;

/**
 * What a gateway tells the other gateways about upstreams that announce request limits.
 *
 * @param sender name of the gateway
 * @param entries one for each upstream
 */
record LimitReport(String sender, List<Entry> entries) {

    /**
     * The gateway's knowledge of one upstream.
     *
     * @param upstreamId id of the upstream
     * @param startedMs start of the upstream's process, in Unix milliseconds
     * @param perSecond requests a second that the upstream accepts, or empty if it announces no limit any more
     * @param ageMs time since the response that said so, in milliseconds
     * @param sends requests that the gateway has sent there
     */
    record Entry(String upstreamId, long startedMs, OptionalDouble perSecond, long ageMs, long sends) {}
}
