package org.kingcuproad.policy.gateway;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The configuration of a gateway.
 *
 * @param version version number, which increases with each change
 * @param routes all routes
 * @param services configuration of each service, by name
 * @param limits limits on clients
 * @param keyRequirement which requests on non-anonymous routes need a known API key
 * @param keyOwners the owning workspace of each API key
 */
public record GatewayConfiguration(
        long version,
        List<GatewayRoute> routes,
        Map<String, ServiceConfiguration> services,
        ClientLimits limits,
        KeyRequirement keyRequirement,
        Map<String, KeyOwner> keyOwners) {

    /**
     * Returns the services that the configuration names, with settings or as the destination of a route.
     *
     * @return the names
     */
    public Set<String> serviceNames() {
        return Stream.concat(
                        services.keySet().stream(),
                        routes.stream()
                                .flatMap(route -> route.services().stream().map(WeightedService::service)))
                .collect(Collectors.toUnmodifiableSet());
    }
}
