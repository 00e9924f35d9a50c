package org.kingcuproad.policy.gateway;

/**
 * Decision whether a request body is read now, later or not at all.
 *
 * <p>This answers bursts of large bodies that don't fit into the memory of the gateway together. Memory is reserved for
 * a whole body before it is read, because bodies that are all read in part would keep each other from being completed.
 * A client waits a short time for others to be completed; then it is refused, and may reach another gateway.
 */
public enum BodyAdmission {

    /** The body is read. */
    ADMIT,

    /** The client's connection is not read for now. */
    PAUSE,

    /** The request is refused before its body is read. */
    REFUSE;

    /** Maximum size of a small body, in bytes. Small bodies don't wait for large ones. */
    public static final int MAX_SMALL_BYTES = 64 << 10;

    /** Maximum time for which a body waits for memory, in milliseconds; half of the shortest latency goals. */
    public static final long MAX_PAUSE_MS = 500;

    /**
     * Decides about a body that has not been read.
     *
     * @param account memory of the gateway
     * @param bodyBytes declared size of the body, 0 if it is not known
     * @param othersWait whether other large bodies were paused before
     * @param pausedMs time for which the body has been paused, in milliseconds
     * @return the decision
     */
    public static BodyAdmission of(MemoryAccount account, long bodyBytes, boolean othersWait, long pausedMs) {
        if (bodyBytes <= MAX_SMALL_BYTES) {
            return account.hasRoomForSmallBody(bodyBytes) ? ADMIT : REFUSE;
        }
        if (!othersWait && account.hasRoomForLargeBody(bodyBytes)) {
            return ADMIT;
        }
        return pausedMs < MAX_PAUSE_MS ? PAUSE : REFUSE;
    }
}
