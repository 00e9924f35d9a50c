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

/** Accepts client connections. */
final class ClientListener {

    /**
     * Length of the accept queue. A full queue delays clients by seconds, and after a restart all clients reconnect at
     * once.
     */
    private static final int ACCEPT_BACKLOG = 1_024;

    /**
     * Minimum limit of the request line, the usual one of HTTP servers; the configured header limit applies if it is
     * larger.
     */
    private static final int MAX_REQUEST_LINE_BYTES = 8_192;

    /** Maximum size of a body chunk in one message, the default of Netty. */
    private static final int MAX_CHUNK_BYTES = 8_192;

    private ClientListener() {}

    /**
     * Binds the listening socket.
     *
     * @param limits supplies the limits that apply to a new connection
     * @param onOpen creates the handler of a new connection
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
                    protected void initChannel(Channel channel) {
                        ClientLimits currentLimits = limits.get();
                        addHandlers(channel, currentLimits, onOpen.apply(channel, currentLimits));
                    }
                })
                .bind(address);
    }

    private static void addHandlers(Channel channel, ClientLimits limits, ClientConnection connection) {
        channel.pipeline()
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
                                MAX_CHUNK_BYTES),
                        connection);
    }
}
