package org.kingcuproad.policy.gateway;

import java.util.List;
import java.util.Map;

/**
 * The configuration of a gateway.
 *
 * @param version version number, which increases with each change
 * @param routes all routes
 * @param services configuration of each service, by name
 * @param limits limits on clients
 * @param requiresKeys whether requests on non-anonymous routes need an API key
 * @param keyOwners the owning workspace of each API key
 */
public record GatewayConfiguration(
        long version,
        List<GatewayRoute> routes,
        Map<String, ServiceConfiguration> services,
        ClientLimits limits,
        boolean requiresKeys,
        Map<String, KeyOwner> keyOwners) {}
