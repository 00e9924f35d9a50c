package org.kingcuproad.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.kingcuproad.policy.gateway.ClientLimits;

/**
 * Accepts client connections.
 *
 * <p>Stopping takes two steps. A selector closes the socket of a registered channel only with its next selection, and
 * closing resets the connections that wait in the accept queue. The channel is therefore removed from the selector
 * first; then the queued connections are accepted, and the socket is closed at once.
 */
final class ClientListener {

    /**
     * Length of the accept queue. A full queue delays clients by seconds, and after a restart all clients reconnect at
     * once.
     */
    private static final int ACCEPT_BACKLOG = 1_024;

    /** Delay after which the selector has removed a deregistered channel; any delay leads past the next selection. */
    private static final long DEREGISTRATION_MS = 1;

    private final ChannelFuture bound;
    private boolean stopping;

    private ClientListener(ChannelFuture bound) {
        this.bound = bound;
    }

    /**
     * Binds the listening socket. All connections belong to the event loop.
     *
     * @param limits supplies the limits that apply to the headers of a new request
     * @param onOpen creates the handler of a new connection
     */
    static ClientListener open(
            EventLoop eventLoop,
            InetSocketAddress address,
            Supplier<ClientLimits> limits,
            Function<Channel, ClientConnection> onOpen) {
        return new ClientListener(new ServerBootstrap()
                .group(eventLoop)
                .channelFactory(QueueDrainingServerChannel::new)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RCVBUF_ALLOCATOR, ReceiveBuffers.create())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        addHandlers(channel, limits, onOpen.apply(channel));
                    }
                })
                .bind(address));
    }

    /** Returns the future that completes when the address is bound, or fails if it can't be. */
    ChannelFuture bound() {
        return bound;
    }

    /** Stops accepting connections, after those that wait in the accept queue. Must be called on the event loop. */
    void stop() {
        if (stopping) {
            return;
        }
        stopping = true;
        Channel channel = bound.channel();
        channel.deregister()
                .addListener(deregistered -> channel.eventLoop()
                        .schedule(this::acceptQueuedAndClose, DEREGISTRATION_MS, TimeUnit.MILLISECONDS));
    }

    private void acceptQueuedAndClose() {
        if (bound.channel() instanceof QueueDrainingServerChannel channel && channel.isOpen()) {
            channel.acceptQueuedAndClose();
        }
    }

    /** Returns whether the listening socket is closed. */
    boolean stopped() {
        return stopping && !bound.channel().isOpen();
    }

    private static void addHandlers(Channel channel, Supplier<ClientLimits> limits, ClientConnection connection) {
        ClientResponseEncoder encoder = new ClientResponseEncoder();
        ClientRequestDecoder first = new ClientRequestDecoder(limits.get().maxHeaderBytes(), encoder);
        channel.pipeline()
                .addLast(
                        new ChannelInboundHandlerAdapter() {

                            private ClientRequestDecoder decoder = first;

                            @Override
                            public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
                                connection.onBytes();
                                int maxHeaderBytes = limits.get().maxHeaderBytes();
                                if (maxHeaderBytes != decoder.maxHeaderBytes() && decoder.betweenRequests()) {
                                    ClientRequestDecoder next = new ClientRequestDecoder(maxHeaderBytes, encoder);
                                    context.pipeline().replace(decoder, null, next);
                                    decoder = next;
                                }
                                super.channelRead(context, message);
                            }
                        },
                        first,
                        encoder,
                        connection);
    }
}
