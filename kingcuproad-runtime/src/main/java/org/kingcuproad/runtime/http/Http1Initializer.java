package org.kingcuproad.runtime.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpServerUpgradeHandler;
import java.util.function.Consumer;

/** Adds the request handlers of an HTTP/1.1 connection once its first message shows that it is not HTTP/2. */
final class Http1Initializer extends ChannelInboundHandlerAdapter {

    private final Consumer<Channel> addHandlers;

    Http1Initializer(Consumer<Channel> addHandlers) {
        this.addHandlers = addHandlers;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (context.pipeline().get(HttpServerUpgradeHandler.class) != null) {
            context.pipeline().remove(HttpServerUpgradeHandler.class);
        }
        addHandlers.accept(context.channel());
        context.fireChannelRead(message);
        context.pipeline().remove(this);
    }
}
