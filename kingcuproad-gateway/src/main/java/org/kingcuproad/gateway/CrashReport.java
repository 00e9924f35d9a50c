package org.kingcuproad.gateway;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.kingcuproad.policy.quarantine.UpstreamCrash;

/**
 * What a gateway tells the other gateways about crashed upstreams of a service.
 *
 * @param sender name of the gateway
 * @param service name of the service
 * @param answers requests with prompts that were answered since the gateway started
 * @param quarantineAgesMs prompts in quarantine, with the time since the decision in milliseconds
 * @param lostPrompts prompts of the requests that this gateway lost at each crashed upstream
 * @param provenParts parts of these prompts that the gateway has seen answered
 */
record CrashReport(
        String sender,
        String service,
        long answers,
        Map<Set<String>, Long> quarantineAgesMs,
        Map<UpstreamCrash.Incarnation, Set<List<String>>> lostPrompts,
        List<String> provenParts) {}
