package org.kingcuproad.policy.gateway;

/**
 * One whole event of a stream.
 *
 * @param id id of the event, or {@link #NO_ID}
 * @param bytes the event with its final empty line; must not be changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record StreamEvent(long id, byte[] bytes) {

    /** The event has no id, or one that isn't a number. */
    public static final long NO_ID = -1;
}
