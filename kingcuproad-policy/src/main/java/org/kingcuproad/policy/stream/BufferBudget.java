package org.kingcuproad.policy.stream;

/**
 * Counts the bytes that all response buffers of one agent hold. Used by buffers that share one event loop.
 *
 * <p>When the budget is used up, a buffer that holds bytes stops reading until its own reader has drained it. A buffer
 * that holds nothing may always read, so a response whose reader keeps up is never blocked by slow readers of others,
 * and the total exceeds the budget by at most one read per request.
 */
public final class BufferBudget {

    /** Bytes that all buffers of an agent hold together. */
    public static final long DEFAULT_LIMIT_BYTES = 8L * 1024 * 1024;

    private final long limitBytes;
    private long usedBytes;

    /**
     * Creates a budget.
     *
     * @param limitBytes bytes above which buffers stop reading
     */
    public BufferBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Returns the bytes held now.
     *
     * @return bytes held by all buffers
     */
    public long usedBytes() {
        return usedBytes;
    }

    boolean exhausted() {
        return usedBytes >= limitBytes;
    }

    void add(long bytes) {
        usedBytes += bytes;
    }

    void remove(long bytes) {
        usedBytes -= bytes;
    }
}
