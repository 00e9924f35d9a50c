package org.kingcuproad.policy.gateway;

import java.util.Set;

/**
 * The request whose response is expected on a connection.
 *
 * @param requestId id of the request
 * @param bodiless whether responses to its method have no body
 * @param earlierIds ids of the requests that were sent on the connection before, as far as they are remembered
 */
public record ExpectedResponse(String requestId, boolean bodiless, Set<String> earlierIds) {}
