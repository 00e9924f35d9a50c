package org.kingcuproad.policy.gateway;

/**
 * An upstream as it registered itself.
 *
 * @param id id of the upstream, which changes with most restarts
 * @param service service that it belongs to
 * @param host IP address
 * @param port TCP port
 * @param dataCentre data centre that it stands in
 * @param slots requests that it works on at the same time
 * @param draining whether it takes no new requests
 * @param bornMs time of its start on its own clock, in Unix milliseconds; 0 if it doesn't tell
 */
public record UpstreamEntry(
        String id,
        String service,
        String host,
        int port,
        String dataCentre,
        int slots,
        boolean draining,
        long bornMs) {}
