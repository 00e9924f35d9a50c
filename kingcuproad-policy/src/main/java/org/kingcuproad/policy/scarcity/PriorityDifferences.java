package org.kingcuproad.policy.scarcity;

import java.util.stream.IntStream;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.GatewayRoute;
import org.kingcuproad.policy.gateway.KeyRequirement;

/** Tells whether the requests of a service differ in priority, so that their order matters to callers. */
public final class PriorityDifferences {

    private PriorityDifferences() {}

    /**
     * Returns whether requests of different priorities may be sent to a service.
     *
     * @param configuration configuration of the gateway
     * @param service name of the service
     * @return {@code true} if routes to the service, or workspaces that use them, have different priorities
     */
    public static boolean exist(GatewayConfiguration configuration, String service) {
        return configuration.routes().stream()
                        .filter(route -> route.services().stream()
                                .anyMatch(weighted -> weighted.service().equals(service)))
                        .flatMapToInt(route -> priorities(route, configuration))
                        .distinct()
                        .limit(2)
                        .count()
                > 1;
    }

    /** A workspace's priority takes precedence over that of the route. */
    private static IntStream priorities(GatewayRoute route, GatewayConfiguration configuration) {
        KeyRequirement requirement = configuration.keyRequirement();
        IntStream ofWorkspaces = !route.anonymous() && requirement.appliesTo(true)
                ? configuration.keyOwners().values().stream()
                        .mapToInt(owner -> owner.priority().orElse(route.priority()))
                : IntStream.empty();
        boolean servedWithoutKey = route.anonymous() || !requirement.appliesTo(false);
        return servedWithoutKey ? IntStream.concat(ofWorkspaces, IntStream.of(route.priority())) : ofWorkspaces;
    }
}
