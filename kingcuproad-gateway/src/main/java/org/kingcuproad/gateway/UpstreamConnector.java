package org.kingcuproad.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import java.util.function.BiConsumer;

/** Opens connections to upstreams. */
final class UpstreamConnector {

    /** Upstreams are less than a few milliseconds away; a VM without power never answers. */
    private static final int CONNECT_TIMEOUT_MS = 250;

    private UpstreamConnector() {}

    /** Opens a connection for an attempt; the attempt is told if that fails. */
    static void connect(
            EventLoop eventLoop,
            Clock clock,
            String requestIdHeader,
            Upstream upstream,
            Attempt attempt,
            BiConsumer<Attempt, UpstreamLink> onOpen) {
        UpstreamLink link = new UpstreamLink(upstream, clock, requestIdHeader);
        new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel opened) {
                        opened.pipeline().addLast(new HttpClientCodec(), link);
                    }
                })
                .connect(upstream.entry().host(), upstream.entry().port())
                .addListener((ChannelFutureListener) future -> {
                    if (future.isSuccess()) {
                        onOpen.accept(attempt, link);
                    } else {
                        attempt.onBroken("connection failed: " + future.cause());
                    }
                });
    }
}
