package org.kingcuproad.gateway;

import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.UpstreamEntry;

/**
 * All that a gateway needs to know of the words of its surroundings.
 *
 * @param headers names of headers
 * @param configuration how to read the configuration
 * @param upstreams how to read the registered upstreams
 * @param gateways how to register and find gateways
 */
public record GatewayDialect(
        HeaderNames headers,
        StoreDialect<GatewayConfiguration> configuration,
        StoreDialect<UpstreamEntry> upstreams,
        RegistryDialect gateways) {}
