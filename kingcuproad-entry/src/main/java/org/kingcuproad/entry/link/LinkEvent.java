package org.kingcuproad.entry.link;

import org.kingcuproad.wire.proto.ExecuteResponse;

/** What an execute stream brings from the agent. */
public sealed interface LinkEvent {

    /**
     * A message from the agent.
     *
     * @param message the message
     */
    record Received(ExecuteResponse message) implements LinkEvent {}

    /**
     * The stream ended, cleanly or not. Nothing follows on it.
     *
     * @param detail why it ended
     */
    record Closed(String detail) implements LinkEvent {}
}
