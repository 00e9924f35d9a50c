package org.kingcuproad.runtime.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http2.DefaultHttp2GoAwayFrame;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2FrameCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts the requests in progress of a server and tells when a draining server has none left. */
final class ServerConnections {

    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicInteger inProgress = new AtomicInteger();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private volatile boolean draining;

    void add(Channel channel) {
        channels.add(channel);
    }

    void exchangeStarted() {
        inProgress.incrementAndGet();
    }

    void exchangeEnded() {
        if (inProgress.decrementAndGet() == 0 && draining) {
            drained.complete(null);
        }
    }

    boolean draining() {
        return draining;
    }

    int exchangesInProgress() {
        return inProgress.get();
    }

    CompletableFuture<Void> drain() {
        draining = true;
        channels.stream()
                .filter(channel -> channel.pipeline().get(Http2FrameCodec.class) != null)
                .forEach(channel -> channel.writeAndFlush(new DefaultHttp2GoAwayFrame(Http2Error.NO_ERROR))
                        .addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE));
        if (inProgress.get() == 0) {
            drained.complete(null);
        }
        return drained;
    }

    void closeAll() {
        channels.close();
    }
}
