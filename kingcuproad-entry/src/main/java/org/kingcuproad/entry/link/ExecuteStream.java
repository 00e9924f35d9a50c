package org.kingcuproad.entry.link;

import io.grpc.stub.StreamObserver;
import org.kingcuproad.wire.proto.ExecuteRequest;

/** An open execute stream to an agent. Used on the event loop only. */
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

    /** Ends the sending side; messages sent afterwards are dropped. */
    public void close() {
        if (!closed) {
            closed = true;
            requests.onCompleted();
        }
    }

    /** Notes that the agent ended the stream. */
    void closedByAgent() {
        closed = true;
    }

    /**
     * Returns which channel of its link the stream runs over.
     *
     * @return generation of the channel
     */
    public int channelGeneration() {
        return channelGeneration;
    }
}
