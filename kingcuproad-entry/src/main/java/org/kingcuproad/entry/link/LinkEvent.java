package org.kingcuproad.entry.link;

import org.kingcuproad.wire.proto.ExecuteResponse;

/** An event on an execute stream. */
public sealed interface LinkEvent {

    /**
     * A message from the agent.
     *
     * @param message the message
     */
    record Received(ExecuteResponse message) implements LinkEvent {}

    /**
     * The stream ended, normally or with an error. No further event follows.
     *
     * @param detail why it ended
     */
    record Closed(String detail) implements LinkEvent {}
}
