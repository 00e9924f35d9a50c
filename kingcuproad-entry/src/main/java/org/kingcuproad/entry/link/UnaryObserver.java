package org.kingcuproad.entry.link;

import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;

/**
 * Completes a future on the event loop with the response of a unary call.
 *
 * @param <T> type of the response
 */
final class UnaryObserver<T> implements StreamObserver<T> {

    private final EventLoop eventLoop;
    private final CompletableFuture<T> result;

    UnaryObserver(EventLoop eventLoop, CompletableFuture<T> result) {
        this.eventLoop = eventLoop;
        this.result = result;
    }

    @Override
    public void onNext(T response) {
        eventLoop.execute(() -> result.complete(response));
    }

    @Override
    public void onError(Throwable failure) {
        eventLoop.execute(() -> result.completeExceptionally(failure));
    }

    @Override
    public void onCompleted() {
        eventLoop.execute(
                () -> result.completeExceptionally(new IllegalStateException("call ended without a response")));
    }
}
