package org.kingcuproad.policy.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request: the one with the longest matching path prefix among the routes of the host. */
public final class RouteTable {

    private final Map<String, Map<String, GatewayRoute>> byHost;

    /**
     * Creates a table.
     *
     * @param routes all routes; of several with the same host and prefix the first one is used
     */
    public RouteTable(List<GatewayRoute> routes) {
        this.byHost = new HashMap<>();
        routes.forEach(route ->
                byHost.computeIfAbsent(route.host(), host -> new HashMap<>()).putIfAbsent(route.pathPrefix(), route));
    }

    /**
     * Finds the route of a request.
     *
     * @param hostHeader value of the {@code Host} header, with or without a port
     * @param target request target, with or without a query
     * @return the route, or empty if none matches
     */
    public Optional<GatewayRoute> find(String hostHeader, String target) {
        Map<String, GatewayRoute> routesByPrefix = byHost.get(hostName(hostHeader));
        if (routesByPrefix == null) {
            return Optional.empty();
        }
        int queryStart = target.indexOf('?');
        String path = queryStart < 0 ? target : target.substring(0, queryStart);
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            GatewayRoute route = routesByPrefix.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
            if (end == 0) {
                break;
            }
        }
        return Optional.empty();
    }

    private static String hostName(String hostHeader) {
        int colon = hostHeader.lastIndexOf(':');
        return (colon < 0 ? hostHeader : hostHeader.substring(0, colon)).toLowerCase(Locale.ROOT);
    }
}
