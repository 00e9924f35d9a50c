package org.kingcuproad.daemon;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards TCP connections and can cut or silence those that are open, while new ones work. */
final class TcpFault {

    private final Set<Pipe> pipes = ConcurrentHashMap.newKeySet();
    private final Channel listener;

    TcpFault(EventLoopGroup eventLoops, int targetPort) throws InterruptedException {
        this.listener = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel incoming) {
                        connect(incoming, targetPort);
                    }
                })
                .bind(LocalSystem.HOST, 0)
                .sync()
                .channel();
    }

    int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Loses track of the open connections: nothing passes them any more, and neither end is told. */
    void silence() {
        pipes.forEach(pipe -> pipe.silent = true);
    }

    void cut() {
        pipes.forEach(pipe -> pipe.output.close());
    }

    void close() {
        listener.close();
        cut();
    }

    private void connect(Channel incoming, int targetPort) {
        new Bootstrap()
                .group(incoming.eventLoop())
                .channel(NioSocketChannel.class)
                .handler(new Pipe(incoming))
                .connect(LocalSystem.HOST, targetPort)
                .addListener((ChannelFuture connected) -> {
                    if (!connected.isSuccess()) {
                        incoming.close();
                        return;
                    }
                    incoming.pipeline().addLast(new Pipe(connected.channel()));
                    incoming.config().setAutoRead(true);
                });
    }

    /** One direction of a connection. */
    private final class Pipe extends ChannelInboundHandlerAdapter {

        private final Channel output;
        private volatile boolean silent;

        Pipe(Channel output) {
            this.output = output;
            pipes.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (silent) {
                ReferenceCountUtil.release(message);
            } else {
                output.writeAndFlush(message);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            pipes.remove(this);
            if (!silent) {
                output.close();
            }
        }
    }
}
