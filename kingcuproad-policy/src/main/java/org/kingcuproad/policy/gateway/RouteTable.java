package org.kingcuproad.policy.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request: the longest path prefix among the routes of its host. */
public final class RouteTable {

    private final Map<String, Map<String, GatewayRoute>> byHost;

    /**
     * Creates a table.
     *
     * @param routes all routes; of two with the same host and prefix the first one counts
     */
    public RouteTable(List<GatewayRoute> routes) {
        this.byHost = new HashMap<>();
        routes.forEach(route ->
                byHost.computeIfAbsent(route.host(), host -> new HashMap<>()).putIfAbsent(route.pathPrefix(), route));
    }

    /**
     * Finds a route.
     *
     * @param hostHeader host of the request, with or without a port
     * @param target request target, with or without a query
     * @return the route, or empty if none matches
     */
    public Optional<GatewayRoute> find(String hostHeader, String target) {
        Map<String, GatewayRoute> prefixes = byHost.get(hostName(hostHeader));
        if (prefixes == null) {
            return Optional.empty();
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            GatewayRoute route = prefixes.get(path.substring(0, end + 1));
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
