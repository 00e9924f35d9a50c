package org.kingcuproad.policy.gateway;

/**
 * Decides whether a client that sends a request body makes too little progress to go on waiting for it.
 *
 * <p>This answers clients that hold a connection by sending a body byte by byte. A body may take long, as a whole, if
 * it arrives steadily.
 */
public final class UploadProgress {

    /** Minimum number of bytes in a period; the smallest modem connections carry several times as many. */
    private static final int MIN_BYTES_PER_PERIOD = 512;

    private long periodStartedMs;
    private long periodBytes;

    /**
     * Creates an instance at the start of a body.
     *
     * @param nowMs current time, in milliseconds
     */
    public UploadProgress(long nowMs) {
        this.periodStartedMs = nowMs;
    }

    /**
     * Records a part of the body.
     *
     * @param bytes number of bytes
     */
    public void onBytes(int bytes) {
        periodBytes += bytes;
    }

    /**
     * Returns whether too few bytes arrived in the last period. A period that had enough is followed by the next one.
     *
     * @param periodMs length of a period, in milliseconds
     * @param nowMs current time, in milliseconds
     * @return {@code true} if a whole period has passed with too few bytes
     */
    public boolean isStalled(long periodMs, long nowMs) {
        if (nowMs - periodStartedMs <= periodMs) {
            return false;
        }
        boolean stalled = periodBytes < MIN_BYTES_PER_PERIOD;
        periodStartedMs = nowMs;
        periodBytes = 0;
        return stalled;
    }
}
