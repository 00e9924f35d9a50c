package org.kingcuproad.policy.gateway;

/**
 * One complete event of a stream.
 *
 * @param id id of the event, or {@link #NO_ID}
 * @param bytes the event including the blank line that ends it; must not be modified
 * @param comment whether every line is a comment, so that the event only keeps the connection open
 */
@SuppressWarnings("ArrayRecordComponent")
public record StreamEvent(long id, byte[] bytes, boolean comment) {

    /** Id of an event that has no id or a non-numeric one. */
    public static final long NO_ID = -1;

    /**
     * Returns whether the event advances a stream. Comments and repeated events don't.
     *
     * @param lastEventId id of the last event that was passed on, or {@link #NO_ID}
     * @return {@code true} if the event is new to the client
     */
    public boolean advances(long lastEventId) {
        return id == NO_ID ? !comment : id > lastEventId;
    }
}
