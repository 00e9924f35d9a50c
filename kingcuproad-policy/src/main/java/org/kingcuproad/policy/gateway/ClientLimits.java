package org.kingcuproad.policy.gateway;

/**
 * Limits on the size of a client's requests and on how long the client may take.
 *
 * @param maxHeaderBytes maximum size of the request line and headers, in bytes
 * @param maxBodyBytes maximum size of the body, in bytes
 * @param headerTimeoutMs maximum time from the first byte of a request to the end of its headers, in milliseconds
 * @param idleTimeoutMs maximum time that a connection stays open without a request, in milliseconds
 */
public record ClientLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {

    /**
     * Limits in force until the first configuration arrives, and defaults for limits that a configuration omits. The
     * sizes are those that common HTTP servers allow; the timeouts are short.
     */
    public static final ClientLimits DEFAULTS = new ClientLimits(16_384, 1_048_576, 5_000, 15_000);
}
