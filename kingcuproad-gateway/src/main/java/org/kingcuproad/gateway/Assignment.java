package org.kingcuproad.gateway;

import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.gateway.GatewayRoute;

/**
 * Where a request goes and on whose behalf.
 *
 * @param route route of the request
 * @param service service that gets it
 * @param workspace workspace that holds its key; null on anonymous routes
 * @param priority rank, 0 is the highest
 */
record Assignment(
        GatewayRoute route, String service, @Nullable String workspace, int priority) {}
