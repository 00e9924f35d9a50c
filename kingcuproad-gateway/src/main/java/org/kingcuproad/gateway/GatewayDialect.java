package org.kingcuproad.gateway;

import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.UpstreamEntry;

/**
 * Formats and names of the interfaces between a gateway and its platform.
 *
 * @param headers names of HTTP headers
 * @param configuration format of the stored configuration
 * @param upstreams format of the stored upstream entries
 * @param gateways format of the stored gateway registrations
 * @param quarantines format of the stored quarantined prompts
 * @param evacuations format of the stored evacuations, of which only the names count
 */
public record GatewayDialect(
        HeaderNames headers,
        StoreDialect<GatewayConfiguration> configuration,
        StoreDialect<UpstreamEntry> upstreams,
        RegistryDialect gateways,
        QuarantineDialect quarantines,
        StoreDialect<String> evacuations) {}
