package org.kingcuproad.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.gateway.rank.SlowdownNotifier;
import org.kingcuproad.runtime.log.DecisionLog;

/**
 * Tells the other gateways what this one has at each upstream, by datagrams.
 *
 * <p>A datagram holds the format number, the gateway's name, and for each upstream with requests its id, the number of
 * requests and the unread prompt tokens. A lost one is replaced by the next.
 */
final class PeerLink {

    private static final int FORMAT = 1;

    /** A datagram must fit into one packet on the usual links. */
    private static final int MAX_BYTES = 1_400;

    private final DecisionLog log;
    private final String name;
    private final PeerLoads loads;
    private final ObjDoubleConsumer<String> paces;
    private final Clock clock;
    private @Nullable Channel channel;

    PeerLink(DecisionLog log, String name, PeerLoads loads, ObjDoubleConsumer<String> paces, Clock clock) {
        this.paces = paces;
        this.log = log;
        this.name = name;
        this.loads = loads;
        this.clock = clock;
    }

    void open(EventLoop eventLoop, InetSocketAddress address) {
        channel = new Bootstrap()
                .group(eventLoop)
                .channel(NioDatagramChannel.class)
                .handler(new Receiver())
                .bind(address)
                .channel();
    }

    void close() {
        Channel open = channel;
        if (open != null) {
            open.close();
        }
    }

    /** Sends the loads to all known gateways. */
    void send(Supplier<Map<String, PeerLoads.Load>> own) {
        Channel open = channel;
        var addresses = loads.addresses(clock.steadyMs());
        if (open == null || !open.isActive() || addresses.isEmpty()) {
            return;
        }
        ByteBuf message = open.alloc().buffer(MAX_BYTES);
        message.writeByte(FORMAT);
        writeText(message, name);
        own.get().forEach((id, load) -> {
            if (message.readableBytes() + id.length() + Integer.BYTES * 2 < MAX_BYTES) {
                writeText(message, id);
                message.writeShort(load.inFlight());
                message.writeInt((int) load.unreadTokens());
            }
        });
        addresses.forEach(address -> open.write(new DatagramPacket(message.retainedDuplicate(), address)));
        open.flush();
        message.release();
    }

    /** Asks the agents beside engines to tell when their engine is slow. */
    void subscribe(Stream<InetSocketAddress> agents) {
        Channel open = channel;
        if (open != null && open.isActive()) {
            agents.forEach(agent -> open.write(new DatagramPacket(SlowdownNotifier.subscription(), agent)));
            open.flush();
        }
    }

    private static void writeText(ByteBuf message, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        message.writeByte(bytes.length);
        message.writeBytes(bytes);
    }

    private static String readText(ByteBuf message) {
        return message.readCharSequence(message.readUnsignedByte(), StandardCharsets.UTF_8)
                .toString();
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            ByteBuf message = packet.content();
            if (SlowdownNotifier.isNotice(message)) {
                paces.accept(packet.sender().getHostString(), SlowdownNotifier.readSlowdown(message));
                return;
            }
            try {
                if (message.readUnsignedByte() != FORMAT) {
                    return;
                }
                String sender = readText(message);
                Map<String, PeerLoads.Load> told = new HashMap<>();
                while (message.isReadable()) {
                    String id = readText(message);
                    told.put(id, new PeerLoads.Load(message.readUnsignedShort(), message.readInt()));
                }
                loads.onMessage(sender, packet.sender(), told, clock.steadyMs());
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
