package org.kingcuproad.gateway;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import java.util.concurrent.CompletableFuture;
import org.kingcuproad.runtime.log.DecisionLog;

/** Reports listening addresses that can't be bound. */
final class BindFailureReporter {

    private final DecisionLog log;
    private final CompletableFuture<Void> stopped;

    BindFailureReporter(DecisionLog log, CompletableFuture<Void> stopped) {
        this.log = log;
        this.stopped = stopped;
    }

    /** Makes the process exit on a bind failure, since it would otherwise appear to run but serve nobody. */
    void stopOnFailure(ChannelFuture bound) {
        bound.addListener((ChannelFutureListener) future -> {
            if (!future.isSuccess()) {
                stopped.completeExceptionally(future.cause());
            }
        });
        logFailure(bound);
    }

    /** Logs a bind failure of an address without which the process can do its work. */
    void logFailure(ChannelFuture bound) {
        bound.addListener((ChannelFutureListener) future -> {
            if (!future.isSuccess()) {
                log.event("listening address can't be bound")
                        .field("reason", String.valueOf(future.cause()))
                        .write();
            }
        });
    }
}
