package org.kingcuproad.platform;

/**
 * Where the platform is and how long to wait for it.
 *
 * @param platformUrl base URL, without a slash at its end
 * @param connectTimeoutMs longest wait for a connection, in milliseconds
 * @param requestTimeoutMs longest wait for a whole answer, in milliseconds
 * @param watchSilenceMs longest time without a message on a watch, in milliseconds
 */
public record ObjectStoreSettings(String platformUrl, int connectTimeoutMs, int requestTimeoutMs, int watchSilenceMs) {

    /** Connections within a region take 1 ms or 2 ms; more than this means that the host is gone. */
    private static final int DEFAULT_CONNECT_TIMEOUT_MS = 500;

    /** The API responds in milliseconds; a caller's order must not wait longer than this for a claim. */
    private static final int DEFAULT_REQUEST_TIMEOUT_MS = 2_000;

    /** Three bookmarks of one second each; it leaves half of the 6 s of design requirement H7 for a new watch. */
    private static final int DEFAULT_WATCH_SILENCE_MS = 3_000;

    /**
     * Creates settings with the default times.
     *
     * @param platformUrl base URL, without a slash at its end
     * @return the settings
     */
    public static ObjectStoreSettings of(String platformUrl) {
        return new ObjectStoreSettings(
                platformUrl, DEFAULT_CONNECT_TIMEOUT_MS, DEFAULT_REQUEST_TIMEOUT_MS, DEFAULT_WATCH_SILENCE_MS);
    }

    /**
     * Replaces the longest wait for a whole answer.
     *
     * @param timeoutMs the time, in milliseconds
     * @return a copy with the time
     */
    public ObjectStoreSettings withRequestTimeoutMs(int timeoutMs) {
        return new ObjectStoreSettings(platformUrl, connectTimeoutMs, timeoutMs, watchSilenceMs);
    }

    /**
     * Replaces the longest time without a message on a watch.
     *
     * @param silenceMs the time, in milliseconds
     * @return a copy with the time
     */
    public ObjectStoreSettings withWatchSilenceMs(int silenceMs) {
        return new ObjectStoreSettings(platformUrl, connectTimeoutMs, requestTimeoutMs, silenceMs);
    }
}
