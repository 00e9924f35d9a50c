package org.kingcuproad.policy.gateway;

/**
 * Limits on what a client may send and how long it may take.
 *
 * @param maxHeaderBytes largest request line and headers, in bytes
 * @param maxBodyBytes largest body, in bytes
 * @param headerTimeoutMs longest time from the first byte of a request to the end of its headers, in milliseconds
 * @param idleTimeoutMs longest time without a request on an open connection, in milliseconds
 */
public record ClientLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /** In force before the first configuration: the sizes are what common HTTP servers allow, the times are short. */
    public static final ClientLimits BEFORE_CONFIGURATION = new ClientLimits(16_384, 1_048_576, 5_000, 15_000);
}
