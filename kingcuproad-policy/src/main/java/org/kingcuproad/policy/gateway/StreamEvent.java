package org.kingcuproad.policy.gateway;

/**
 * One complete event of a stream.
 *
 * @param id id of the event, or {@link #NO_ID}
 * @param bytes the event including the blank line that ends it; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record StreamEvent(long id, byte[] bytes) {

    /** Id of an event that has no id or a non-numeric one. */
    public static final long NO_ID = -1;
}
