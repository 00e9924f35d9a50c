package org.kingcuproad.policy.gateway;

import java.util.List;
import java.util.Map;

/**
 * The configuration of a gateway.
 *
 * @param version version, which only increases
 * @param routes all routes
 * @param services what the configuration says of each service, by name
 * @param limits limits on clients
 * @param requiresKeys whether requests on routes that aren't anonymous need a key
 * @param holders the workspace of each key
 */
public record GatewayConfiguration(
        long version,
        List<GatewayRoute> routes,
        Map<String, ServiceProfile> services,
        ClientLimits limits,
        boolean requiresKeys,
        Map<String, KeyHolder> holders) {}
