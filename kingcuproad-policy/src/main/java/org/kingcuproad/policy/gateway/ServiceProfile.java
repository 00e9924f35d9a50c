package org.kingcuproad.policy.gateway;

/**
 * What the configuration says of a service.
 *
 * @param name name of the service
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param engine whether its upstreams are model engines that work in lock-step passes
 */
public record ServiceProfile(String name, int maxConnections, boolean engine) {}
