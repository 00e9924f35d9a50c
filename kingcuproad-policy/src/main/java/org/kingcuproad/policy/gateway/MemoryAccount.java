package org.kingcuproad.policy.gateway;

/**
 * Account of the bytes that a gateway holds for others: request bodies, buffered responses and what waits for slow
 * readers.
 *
 * <p>The limit follows from the memory of the process, of which the rest is left to receive buffers and the program
 * itself. Large bodies lie in blocks that are used again and never given back, because freeing direct memory takes a
 * garbage collection; the account therefore counts the most that they ever took. They are kept to a fraction of the
 * limit, so that uploads don't hold up small requests and responses.
 *
 * <p>Not thread-safe: all that is held belongs to one event loop.
 */
public final class MemoryAccount {

    private static final double DIRECT_FRACTION = 0.75;
    private static final double HEAP_FRACTION = 0.5;
    private static final double LARGE_BODY_FRACTION = 0.75;

    /** Fraction of the limit beyond it that is left to small bodies. */
    private static final double SMALL_BODY_RESERVE = 0.125;

    private final long limitBytes;
    private long largeBodyBytes;
    private long maxLargeBodyBytes;
    private long otherBytes;

    /**
     * Creates an empty account.
     *
     * @param limitBytes number of bytes from which reading is paused
     */
    public MemoryAccount(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Creates an empty account for a process.
     *
     * @param directBytes maximum size of the direct memory, in bytes
     * @param heapBytes maximum size of the heap, in bytes
     * @return the account
     */
    public static MemoryAccount ofProcess(long directBytes, long heapBytes) {
        return new MemoryAccount((long) Math.min(directBytes * DIRECT_FRACTION, heapBytes * HEAP_FRACTION));
    }

    /**
     * Returns the number of bytes from which reading is paused.
     *
     * @return the limit, in bytes
     */
    public long limitBytes() {
        return limitBytes;
    }

    /**
     * Returns the number of bytes held, including blocks kept for later bodies.
     *
     * @return the number of bytes
     */
    public long heldBytes() {
        return maxLargeBodyBytes + otherBytes;
    }

    /**
     * Returns whether responses are no longer to be read before their readers have taken what is held for them.
     *
     * @return {@code true} if the limit is reached
     */
    public boolean exhausted() {
        return heldBytes() >= limitBytes;
    }

    /**
     * Returns whether a part of a large body fits.
     *
     * @param bytes size of the part, in bytes
     * @return {@code true} if it may be reserved
     */
    public boolean hasRoomForLargeBody(long bytes) {
        long next = largeBodyBytes + bytes;
        return next <= limitBytes * LARGE_BODY_FRACTION && Math.max(next, maxLargeBodyBytes) + otherBytes <= limitBytes;
    }

    /**
     * Returns whether a small body fits.
     *
     * @param bytes size of the body, in bytes
     * @return {@code true} if it may be held
     */
    public boolean hasRoomForSmallBody(long bytes) {
        return heldBytes() + bytes <= limitBytes * (1 + SMALL_BODY_RESERVE);
    }

    /**
     * Reserves memory for a large body.
     *
     * @param bytes number of bytes
     */
    public void reserveLargeBody(long bytes) {
        largeBodyBytes += bytes;
        maxLargeBodyBytes = Math.max(maxLargeBodyBytes, largeBodyBytes);
    }

    /**
     * Gives back what was reserved for a large body.
     *
     * @param bytes number of bytes
     */
    public void releaseLargeBody(long bytes) {
        largeBodyBytes -= bytes;
    }

    /**
     * Adds bytes that are held for a small body or a response.
     *
     * @param bytes number of bytes
     */
    public void add(long bytes) {
        otherBytes += bytes;
    }

    /**
     * Removes bytes that are no longer held for a small body or a response.
     *
     * @param bytes number of bytes
     */
    public void remove(long bytes) {
        otherBytes -= bytes;
    }
}
