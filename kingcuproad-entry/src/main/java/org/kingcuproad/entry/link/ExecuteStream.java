package org.kingcuproad.entry.link;

import io.grpc.stub.StreamObserver;
import org.kingcuproad.wire.proto.ExecuteRequest;

/** An open execute stream to an agent. Confined to the event loop of the entry. */
public final class ExecuteStream {

    private final StreamObserver<ExecuteRequest> requests;
    private final int channelGeneration;
    private boolean closed;

    ExecuteStream(StreamObserver<ExecuteRequest> requests, int channelGeneration) {
        this.requests = requests;
        this.channelGeneration = channelGeneration;
    }

    /**
     * Sends a message, unless the stream is closed.
     *
     * @param message the message
     */
    public void send(ExecuteRequest message) {
        if (!closed) {
            requests.onNext(message);
        }
    }

    /** Closes the sending side; messages sent afterwards are discarded. */
    public void close() {
        if (!closed) {
            closed = true;
            requests.onCompleted();
        }
    }

    /** Marks the stream as ended by the agent, so that nothing more is sent on it. */
    void markClosedByAgent() {
        closed = true;
    }

    /**
     * Identifies the channel that carries the stream, for {@link AgentLink#replaceChannel}.
     *
     * @return generation of the channel
     */
    public int channelGeneration() {
        return channelGeneration;
    }
}
