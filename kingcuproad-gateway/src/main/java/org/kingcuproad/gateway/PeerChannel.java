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
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.gateway.enginegroup.GroupReportCodec;
import org.kingcuproad.gateway.rank.SlowdownNotifier;
import org.kingcuproad.policy.enginegroup.GroupReport;
import org.kingcuproad.policy.gateway.StoreContact;
import org.kingcuproad.runtime.log.DecisionLog;

/**
 * Exchanges reports of loads, crashes and request limits with the other gateways, and receives the slowdown notices of
 * agents.
 *
 * <p>Lost datagrams with loads are not repeated, since the next one replaces them.
 */
final class PeerChannel {

    /** Interval at which subscriptions are renewed; agents drop one that is not renewed within three intervals. */
    private static final long RENEWAL_MS = 1_000;

    /** Maximum number of datagrams of one crash report; the repetitions of the report send the others. */
    private static final int MAX_CRASH_DATAGRAMS = 32;

    private final CrashReportReader crashReportReader = new CrashReportReader();
    private final DecisionLog log;
    private final String name;
    private final PeerLoads loads;
    private final Listener listener;
    private final Clock clock;
    private @Nullable Channel channel;
    private int nextCrashDatagram;

    /** Receives what other gateways and agents report. */
    interface Listener {

        /**
         * Receives the slowdown of an engine.
         *
         * @param host address of the engine's VM
         * @param slowdown factor by which the engine takes longer than usual for the same work
         */
        void onSlowdown(String host, double slowdown);

        /**
         * Receives the state of the group to which an engine belongs.
         *
         * @param host address of the engine's VM
         */
        void onGroupReport(String host, GroupReport report);

        void onCrashReport(CrashReport report);

        void onLimitReport(LimitReport report);

        void onEndReport(EndReport report);

        /** Receives how long another gateway has been in contact with the store. */
        void onStoreContact(StoreContact.Report report);
    }

    PeerChannel(DecisionLog log, String name, PeerLoads loads, Listener listener, Clock clock) {
        this.log = log;
        this.name = name;
        this.loads = loads;
        this.listener = listener;
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

    /** Sends this gateway's loads and its contact with the store to all known peers. */
    void send(Supplier<Map<String, PeerLoads.Load>> ownLoads, StoreContact.Report storeContact) {
        broadcast(() -> LoadReportCodec.encode(new LoadReport(name, storeContact, ownLoads.get())));
    }

    /** Sends a crash report to all known peers, or the next part of a large one. */
    void send(CrashReport report) {
        List<ByteBuf> datagrams = CrashReportCodec.encode(report);
        int count = Math.min(datagrams.size(), MAX_CRASH_DATAGRAMS);
        int first = count == datagrams.size() ? 0 : nextCrashDatagram % datagrams.size();
        for (int index = 0; index < count; index++) {
            ByteBuf datagram = datagrams.get((first + index) % datagrams.size());
            broadcast(() -> datagram);
        }
        nextCrashDatagram = first + count;
    }

    /** Sends a report of request limits to all known peers. */
    void send(LimitReport report) {
        broadcast(() -> LimitReportCodec.encode(report));
    }

    /** Sends a report about ends of streams to all known peers. */
    void send(EndReport report) {
        broadcast(() -> EndReportCodec.encode(report));
    }

    private void broadcast(Supplier<ByteBuf> message) {
        Channel open = channel;
        var addresses = loads.addresses(clock.steadyMs());
        if (open != null && open.isActive() && !addresses.isEmpty()) {
            broadcast(open, message.get(), addresses);
        }
    }

    private static void broadcast(Channel open, ByteBuf message, List<InetSocketAddress> addresses) {
        addresses.forEach(address -> open.write(new DatagramPacket(message.retainedDuplicate(), address)));
        open.flush();
        message.release();
    }

    /** Subscribes to the notices by which the agents next to engines report slow engines and the state of groups. */
    void startSubscriptions(EventLoop eventLoop, Collection<ServiceDispatcher> dispatchers, int agentPort) {
        eventLoop.scheduleWithFixedDelay(
                () -> subscribe(dispatchers, agentPort), RENEWAL_MS, RENEWAL_MS, TimeUnit.MILLISECONDS);
    }

    private void subscribe(Collection<ServiceDispatcher> dispatchers, int agentPort) {
        Channel open = channel;
        if (open != null && open.isActive()) {
            Stream<InetSocketAddress> agents = dispatchers.stream()
                    .filter(ServiceDispatcher::engine)
                    .flatMap(dispatcher -> dispatcher.upstreams().stream())
                    .map(upstream -> new InetSocketAddress(upstream.entry().host(), agentPort));
            agents.forEach(agent -> open.write(new DatagramPacket(SlowdownNotifier.subscription(), agent)));
            open.flush();
        }
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            ByteBuf message = packet.content();
            if (SlowdownNotifier.isNotice(message)) {
                listener.onSlowdown(packet.sender().getHostString(), SlowdownNotifier.readSlowdown(message));
                return;
            }
            try {
                switch (message.getUnsignedByte(message.readerIndex())) {
                    case CrashReportCodec.TYPE -> listener.onCrashReport(crashReportReader.read(message));
                    case EndReportCodec.TYPE -> listener.onEndReport(EndReportCodec.decode(message));
                    case GroupReportCodec.TYPE ->
                        listener.onGroupReport(packet.sender().getHostString(), GroupReportCodec.decode(message));
                    case LimitReportCodec.TYPE -> listener.onLimitReport(LimitReportCodec.decode(message));
                    case LoadReportCodec.TYPE -> onLoadReport(LoadReportCodec.decode(message), packet.sender());
                    default -> {}
                }
            } catch (IndexOutOfBoundsException truncated) {
                log.event("malformed datagram")
                        .field("sender", String.valueOf(packet.sender()))
                        .write();
            }
        }

        private void onLoadReport(LoadReport report, InetSocketAddress address) {
            loads.onMessage(report.sender(), address, report.loads(), clock.steadyMs());
            listener.onStoreContact(report.storeContact());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.event("datagram channel failed")
                    .field("reason", String.valueOf(cause))
                    .write();
        }
    }
}
