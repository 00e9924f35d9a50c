package org.kingcuproad.gateway.rank;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.runtime.log.DecisionLog;

/** UDP transport of a rank agent: sends messages and notices, receives messages and subscriptions. */
final class RankMessageTransport {

    /** A desired state with a map of 63 ranks, 8 sets and 5 slots per rank needs about 3 KB. */
    private static final int MAX_DATAGRAM_BYTES = 16 << 10;

    private final DecisionLog log;
    private final BiConsumer<RankMessage, InetSocketAddress> onMessage;
    private final Consumer<InetSocketAddress> onSubscription;
    private @Nullable Channel channel;

    RankMessageTransport(
            DecisionLog log,
            BiConsumer<RankMessage, InetSocketAddress> onMessage,
            Consumer<InetSocketAddress> onSubscription) {
        this.log = log;
        this.onMessage = onMessage;
        this.onSubscription = onSubscription;
    }

    void open(EventLoop eventLoop, InetSocketAddress address) {
        channel = new Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                .handler(new Receiver())
                .bind(address)
                .channel();
    }

    void send(RankMessage message, InetSocketAddress address) {
        ByteBuf bytes = Unpooled.buffer();
        RankMessage.write(bytes, message);
        sendBytes(bytes, address);
    }

    void sendBytes(ByteBuf bytes, InetSocketAddress address) {
        Channel open = channel;
        if (open != null && open.isActive()) {
            open.writeAndFlush(new DatagramPacket(bytes, address));
        }
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                if (SlowdownNotifier.isSubscription(packet.content())) {
                    onSubscription.accept(packet.sender());
                    return;
                }
                RankMessage.read(packet.content()).ifPresent(message -> onMessage.accept(message, packet.sender()));
            } catch (IndexOutOfBoundsException truncated) {
                log.event("unreadable datagram")
                        .field("sender", String.valueOf(packet.sender()))
                        .write();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.event("datagram failed").field("reason", String.valueOf(cause)).write();
        }
    }
}
