package org.kingcuproad.gateway;

import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.gateway.GatewayRoute;

/**
 * Result of routing a request: its target service and the owner of its API key.
 *
 * @param route matching route
 * @param service service that the route selected
 * @param workspace workspace that owns the API key; null on anonymous routes
 * @param priority scheduling priority, 0 is the highest
 */
record RoutingDecision(
        GatewayRoute route, String service, @Nullable String workspace, int priority) {}
