package org.kingcuproad.runtime.http;

/**
 * Where a server listens and how much it accepts.
 *
 * @param host IP address to listen on
 * @param port TCP port, or 0 for any free one
 * @param maxBodyBytes largest request body, in bytes
 * @param maxHeaderBytes largest request line and largest header block, each in bytes
 */
public record HttpServerSettings(String host, int port, int maxBodyBytes, int maxHeaderBytes) {

    private static final int DEFAULT_MAX_BODY_BYTES = 1 << 20;
    private static final int DEFAULT_MAX_HEADER_BYTES = 16 << 10;

    /**
     * Creates settings with the default limits of 1 MiB for bodies and 16 KiB for headers.
     *
     * @param host IP address to listen on
     * @param port TCP port, or 0 for any free one
     * @return the settings
     */
    public static HttpServerSettings of(String host, int port) {
        return new HttpServerSettings(host, port, DEFAULT_MAX_BODY_BYTES, DEFAULT_MAX_HEADER_BYTES);
    }

    /**
     * Replaces the limits.
     *
     * @param newMaxBodyBytes largest request body, in bytes
     * @param newMaxHeaderBytes largest request line and largest header block, each in bytes
     * @return a copy with the limits
     */
    public HttpServerSettings withLimits(int newMaxBodyBytes, int newMaxHeaderBytes) {
        return new HttpServerSettings(host, port, newMaxBodyBytes, newMaxHeaderBytes);
    }
}
