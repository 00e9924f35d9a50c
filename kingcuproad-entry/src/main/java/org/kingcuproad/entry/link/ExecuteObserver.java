package org.kingcuproad.entry.link;

import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.wire.proto.ExecuteResponse;

/** Delivers the callbacks of an execute stream as events on the event loop. */
final class ExecuteObserver implements StreamObserver<ExecuteResponse> {

    private final EventLoop eventLoop;
    private final Consumer<LinkEvent> events;
    private @Nullable ExecuteStream stream;

    ExecuteObserver(EventLoop eventLoop, Consumer<LinkEvent> events) {
        this.eventLoop = eventLoop;
        this.events = events;
    }

    void bind(ExecuteStream newStream) {
        stream = newStream;
    }

    @Override
    public void onNext(ExecuteResponse message) {
        eventLoop.execute(() -> events.accept(new LinkEvent.Received(message)));
    }

    @Override
    public void onError(Throwable failure) {
        eventLoop.execute(() -> closed(String.valueOf(failure.getMessage())));
    }

    @Override
    public void onCompleted() {
        eventLoop.execute(() -> closed("agent ended the stream"));
    }

    private void closed(String detail) {
        if (stream != null) {
            stream.markClosedByAgent();
        }
        events.accept(new LinkEvent.Closed(detail));
    }
}
