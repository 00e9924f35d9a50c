package org.kingcuproad.policy.gateway;

/**
 * A service that gets a share of a route's requests.
 *
 * @param service name of the service
 * @param weight share of the requests, relative to the other weights of the route
 */
public record WeightedService(String service, int weight) {}
