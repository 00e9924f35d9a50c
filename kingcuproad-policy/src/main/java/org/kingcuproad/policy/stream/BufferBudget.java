package org.kingcuproad.policy.stream;

/**
 * Budget for the total bytes held by all response buffers of one agent. Not thread-safe: the buffers share one event
 * loop.
 *
 * <p>When the budget is exhausted, a buffer that holds bytes pauses reading until its own reader has drained it. An
 * empty buffer may always read, so a response whose reader keeps up is never blocked by slow readers of other
 * responses, and the total exceeds the budget by at most one read per request.
 */
public final class BufferBudget {

    /** Default budget for all buffers of an agent, in bytes. */
    public static final long DEFAULT_LIMIT_BYTES = 8L * 1024 * 1024;

    private final long limitBytes;
    private long usedBytes;

    /**
     * Creates an unused budget.
     *
     * @param limitBytes total bytes from which non-empty buffers pause reading
     */
    public BufferBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Returns the total bytes currently held.
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
