package org.kingcuproad.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Opens connections to upstreams. */
final class UpstreamConnector {

    /** Timeout of connecting. Upstreams are at most a few milliseconds away, and a VM that is down never responds. */
    private static final int CONNECT_TIMEOUT_MS = 250;

    private UpstreamConnector() {}

    /** Opens a connection for an attempt, and fails the attempt if the connection can't be opened. */
    static void connect(
            EventLoop eventLoop,
            Clock clock,
            HeaderNames names,
            Upstream upstream,
            Attempt attempt,
            BiConsumer<Attempt, UpstreamConnection> onOpen) {
        UpstreamConnection connection = new UpstreamConnection(upstream, clock, names);
        open(eventLoop, upstream, connection).addListener((ChannelFutureListener) future -> {
            if (future.isSuccess()) {
                onOpen.accept(attempt, connection);
            } else {
                attempt.onFailure("connection failed: " + future.cause());
            }
        });
    }

    /**
     * Opens a connection without a request, to find out whether the upstream listens. It is kept for later requests.
     *
     * @param delayMs time until the connection is opened, in milliseconds
     */
    static void probe(
            EventLoop eventLoop,
            Clock clock,
            HeaderNames names,
            Upstream upstream,
            long delayMs,
            Consumer<ProbeResult> onResult) {
        UpstreamConnection connection = new UpstreamConnection(upstream, clock, names);
        ChannelFutureListener onOpened = future -> {
            if (future.isSuccess()) {
                connection.makeAvailable();
            }
            onResult.accept(ProbeResult.of(future.cause()));
        };
        eventLoop.schedule(
                () -> open(eventLoop, upstream, connection).addListener(onOpened), delayMs, TimeUnit.MILLISECONDS);
    }

    private static ChannelFuture open(EventLoop eventLoop, Upstream upstream, UpstreamConnection connection) {
        return new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.RCVBUF_ALLOCATOR, ReceiveBuffers.create())
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new UpstreamRequestEncoder(), connection.decoder(), connection);
                    }
                })
                .connect(upstream.entry().host(), upstream.entry().port());
    }
}
