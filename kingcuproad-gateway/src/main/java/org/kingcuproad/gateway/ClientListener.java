package org.kingcuproad.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import org.kingcuproad.policy.gateway.ClientLimits;

/** Accepts connections of clients. */
final class ClientListener {

    /** Connections not yet accepted; a full queue delays a client by seconds, and all return after a restart. */
    private static final int ACCEPT_BACKLOG = 1_024;

    /** Usual limit of HTTP servers, where the configuration allows no more. */
    private static final int MAX_REQUEST_LINE_BYTES = 8_192;

    /** Largest piece of a body in one message, the default of Netty. */
    private static final int CHUNK_BYTES = 8_192;

    private ClientListener() {}

    /**
     * Starts to listen.
     *
     * @param limits asked for the limits in force when a connection opens
     * @param onOpen makes the handler of a connection
     */
    static ChannelFuture listen(
            EventLoop eventLoop,
            InetSocketAddress address,
            Supplier<ClientLimits> limits,
            BiFunction<Channel, ClientLimits, ClientConnection> onOpen) {
        return new ServerBootstrap()
                .group(eventLoop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel opened) {
                        ClientLimits inForce = limits.get();
                        addHandlers(opened, inForce, onOpen.apply(opened, inForce));
                    }
                })
                .bind(address);
    }

    private static void addHandlers(Channel opened, ClientLimits limits, ClientConnection connection) {
        opened.pipeline()
                .addLast(
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
                                connection.onBytes();
                                super.channelRead(context, message);
                            }
                        },
                        new HttpServerCodec(
                                Math.max(MAX_REQUEST_LINE_BYTES, limits.maxHeaderBytes()),
                                limits.maxHeaderBytes(),
                                CHUNK_BYTES),
                        connection);
    }
}
