package org.kingcuproad.policy.gateway;

/**
 * An upstream as it registered itself in the store.
 *
 * @param id id of the upstream, which changes with most restarts
 * @param service service that the upstream belongs to
 * @param host IP address
 * @param port TCP port
 * @param dataCentre data centre that the upstream runs in
 * @param slots requests that the upstream processes concurrently
 * @param draining whether the upstream accepts no new requests
 * @param startedMs start time on the upstream's own clock, in Unix milliseconds; 0 if it isn't reported
 * @param coldRemainingMs time for which the upstream was still cold when it registered this entry, in milliseconds; 0
 *     if it was not
 */
public record UpstreamEntry(
        String id,
        String service,
        String host,
        int port,
        String dataCentre,
        int slots,
        boolean draining,
        long startedMs,
        long coldRemainingMs) {}
