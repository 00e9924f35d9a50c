package org.kingcuproad.policy.gateway;

import java.nio.charset.StandardCharsets;

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

    /**
     * Returns whether the event only keeps the connection open.
     *
     * @return {@code true} if every line is empty or a comment
     */
    public boolean isComment() {
        return new String(bytes, StandardCharsets.UTF_8)
                .lines()
                .allMatch(line -> line.isEmpty() || line.startsWith(":"));
    }

    /**
     * Returns whether the event advances a stream. Comments and repeated events don't.
     *
     * @param lastEventId id of the last event that was passed on, or {@link #NO_ID}
     * @return {@code true} if the event is new to the client
     */
    public boolean advances(long lastEventId) {
        return id == NO_ID ? !isComment() : id > lastEventId;
    }
}
