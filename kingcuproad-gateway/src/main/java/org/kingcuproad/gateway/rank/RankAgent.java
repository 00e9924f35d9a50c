package org.kingcuproad.gateway.rank;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.gateway.Clock;
import org.kingcuproad.gateway.SerialHttpConnection;
import org.kingcuproad.gateway.StoreDialect;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.UpstreamEntry;
import org.kingcuproad.policy.lockstep.EngineOrder;
import org.kingcuproad.policy.lockstep.PassSwitch;
import org.kingcuproad.policy.lockstep.RankState;
import org.kingcuproad.policy.lockstep.RankWish;
import org.kingcuproad.policy.lockstep.SwitchAction;
import org.kingcuproad.runtime.log.DecisionLog;

/**
 * The agent beside a model engine that is a rank of a group.
 *
 * <p>It reads its engine's state and counters, tells them to the agent of rank 0, and gives its engine the orders that
 * the agent of rank 0 asks for. One event loop owns all sockets and state.
 */
public final class RankAgent {

    /** Reports are free on the engine's own VM; a change is noticed within this time. */
    private static final long REPORT_MS = 100;

    /** While a map is changed the group may stand still, so states are read more often. */
    private static final long ACTIVE_REPORT_MS = 20;

    /** A wish holds a whole map, and the link of an engine's VM is narrow; a lost datagram is replaced this soon. */
    private static final long WISH_REPEAT_MS = 60;

    /** A shift of popularity shows in two or three readings, well within its length of some seconds. */
    private static final long COUNTERS_MS = 200;
    /** A restarted agent is known again after this time; the datagrams are some bytes. */
    private static final long HELLO_MS = 1_000;
    /** The engine on the same VM answers in milliseconds, but a busy processor may take a tenth of a second. */
    private static final long CALL_TIMEOUT_MS = 300;

    /** A wish with the map of 63 ranks, 8 sets and 5 places needs about 6 KB. */
    private static final int MAX_DATAGRAM_BYTES = 16 << 10;
    /** Counters of up to five bytes that fit into one packet on the usual links. */
    private static final int COUNTERS_A_DATAGRAM = 288;

    /** Rank 0 decides, rank 1 ends a hold that rank 0 left behind. */
    private static final int DECIDING_RANKS = 2;

    private static final byte[] NO_BODY = new byte[0];

    private final RankAgentSettings settings;
    private final EngineDialect dialect;
    private final EventLoop eventLoop;
    private final Clock clock;
    private final DecisionLog log;
    private final ReplyReader replies;
    private final SerialHttpConnection reports;
    private final SerialHttpConnection counters;
    private final GroupDirectory directory;
    private final PaceNotice paceNotice = new PaceNotice(this::sendBytes);
    private final Map<Integer, InetSocketAddress> agents = new HashMap<>();
    private final Map<Integer, RankProxy> proxies = new HashMap<>();
    private final RankOrders orders;
    private final RankOrders holds;
    private @Nullable Channel channel;
    private @Nullable RankState state;
    private @Nullable String group;
    private @Nullable MapCoordinator coordinator;
    private int ranks;
    private long expertsEpoch = -1;
    private long expertsVersion = -1;
    private int[][] experts = new int[0][];
    private @Nullable RankWish wish;
    private long wishEpoch;
    private boolean holdersTurnTold;
    private long wishToldMs = Long.MIN_VALUE / 2;
    private long reportedMs = Long.MIN_VALUE / 2;
    private double pace = 1;
    private boolean reporting;
    private boolean counting;

    /**
     * Creates an agent that does nothing yet.
     *
     * @param settings settings
     * @param dialect how the engine is asked and told
     * @param register how registered upstreams are read
     * @param configuration how the configuration is read
     * @param eventLoops a group with one event loop
     * @param clock clocks of the VM
     * @param log log of the process
     */
    public RankAgent(
            RankAgentSettings settings,
            EngineDialect dialect,
            StoreDialect<UpstreamEntry> register,
            StoreDialect<GatewayConfiguration> configuration,
            EventLoopGroup eventLoops,
            Clock clock,
            DecisionLog log) {
        this.settings = settings;
        this.dialect = dialect;
        this.eventLoop = eventLoops.next();
        this.clock = clock;
        this.log = log;
        this.replies = new ReplyReader(log);
        this.reports = new SerialHttpConnection(eventLoop, settings.engineAddress());
        this.counters = new SerialHttpConnection(eventLoop, settings.engineAddress());
        this.directory = new GroupDirectory(settings, register, configuration, eventLoop, log);
        this.orders = new RankOrders(dialect, eventLoop, settings.engineAddress(), clock, log);
        this.holds = new RankOrders(dialect, eventLoop, settings.engineAddress(), clock, log);
    }

    /** Starts the agent. */
    public void start() {
        eventLoop.execute(() -> {
            channel = new Bootstrap()
                    .group(eventLoop)
                    .channel(NioDatagramChannel.class)
                    .option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                    .handler(new Receiver())
                    .bind(settings.agentAddress())
                    .channel();
            every(ACTIVE_REPORT_MS, this::reportIfDue);
            every(COUNTERS_MS, this::readCounters);
            every(HELLO_MS, this::sayHello);
            directory.start();
            log.event("rank agent started").field("name", settings.name()).write();
        });
    }

    /** Stops the agent. */
    public void close() {
        eventLoop.execute(() -> {
            log.event("rank agent stopped").write();
            reports.close();
            counters.close();
            directory.close();
            orders.close();
            holds.close();
        });
    }

    private void every(long periodMs, Runnable step) {
        eventLoop.scheduleWithFixedDelay(step, 0, periodMs, TimeUnit.MILLISECONDS);
    }

    private void reportIfDue() {
        MapCoordinator running = coordinator;
        boolean active = wish != null || (running != null && running.active());
        if (clock.steadyMs() - reportedMs >= (active ? ACTIVE_REPORT_MS : REPORT_MS)) {
            report();
        }
    }

    private void report() {
        if (reporting) {
            return;
        }
        reporting = true;
        reportedMs = clock.steadyMs();
        reports.call(HttpMethod.GET, dialect.reportTarget(), NO_BODY, CALL_TIMEOUT_MS, reply -> {
            reporting = false;
            replies.read(reply, "report", dialect::readReport).ifPresent(this::onReport);
        });
    }

    private void onReport(EngineReport report) {
        if (report.place().isEmpty()) {
            return;
        }
        EngineReport.GroupPlace place = report.place().get();
        RankState known = state;
        if (known == null || known.epoch() != place.epoch() || known.rank() != place.rank()) {
            wish = null;
            agents.clear();
            proxies.values().forEach(RankProxy::close);
            proxies.clear();
            log.event("place in group")
                    .field("group", place.group())
                    .field("rank", place.rank())
                    .field("epoch", place.epoch())
                    .write();
            ranks = place.ranks();
            group = place.group();
            coordinator = null;
        }
        RankState current = report.state(clock.steadyMs()).orElseThrow();
        state = current;
        pace = report.pace();
        paceNotice.send(pace, clock.steadyMs());
        if (expertsEpoch != current.epoch() || expertsVersion != current.mapVersion()) {
            readExperts(current.epoch());
        }
        tell(current);
        followWish();
    }

    private void readExperts(long epoch) {
        if (counting) {
            return;
        }
        counting = true;
        counters.call(HttpMethod.GET, dialect.expertsTarget(), NO_BODY, CALL_TIMEOUT_MS, reply -> {
            counting = false;
            replies.read(reply, "experts", dialect::readExperts).ifPresent(held -> {
                experts = held.bySet();
                expertsVersion = held.mapVersion();
                expertsEpoch = epoch;
            });
        });
    }

    private void tell(RankState current) {
        String name = group;
        if (name == null || expertsEpoch != current.epoch()) {
            return;
        }
        for (int rank = 0; rank < DECIDING_RANKS; rank++) {
            InetSocketAddress address = agents.get(rank);
            if (rank != current.rank() && address != null) {
                send(new RankMessage.State(name, current, pace, expertsVersion, experts), address);
            }
        }
        MapCoordinator running = coordinator();
        if (running != null) {
            running.onState(current, pace, expertsVersion, experts);
            running.rescueIfAbandoned(clock.steadyMs());
            coordinate(running);
        }
    }

    private @Nullable MapCoordinator coordinator() {
        RankState current = state;
        if (coordinator == null && current != null && current.rank() < DECIDING_RANKS && ranks > 1) {
            coordinator = directory
                    .shape()
                    .map(shape -> new MapCoordinator(ranks, current.rank(), shape, log))
                    .orElse(null);
        }
        return coordinator;
    }

    private void coordinate(MapCoordinator running) {
        RankState own = state;
        String name = group;
        if (own == null || name == null) {
            return;
        }
        for (SwitchAction action : running.next(own, clock.steadyMs())) {
            switch (action) {
                case SwitchAction.Hold hold ->
                    holder().ifPresent(orders ->
                            orders.give(new EngineOrder.Hold(hold.step()), own.epoch(), accepted -> {
                                running.onHold(hold.step(), accepted, clock.steadyMs());
                                report();
                            }));
                case SwitchAction.Release release ->
                    holder().ifPresent(orders ->
                            orders.give(new EngineOrder.Release(release.step()), own.epoch(), accepted -> {
                                running.onRelease(release.step(), accepted, clock.steadyMs());
                                report();
                            }));
                case SwitchAction.Wish wanted -> tellWish(running, name, own.epoch(), wanted.wish());
            }
        }
        if (!running.active() && own.rank() == 0) {
            wish = null;
        }
        running.silentRanks(clock.steadyMs()).forEach(rank -> actFor(rank, running));
    }

    /** Returns who gives orders to the engine at which passes are held. */
    private Optional<RankOrders> holder() {
        RankState own = state;
        return own != null && own.rank() == PassSwitch.HOLDER
                ? Optional.of(holds)
                : proxy(PassSwitch.HOLDER).map(RankProxy::orders);
    }

    private void actFor(int rank, MapCoordinator running) {
        proxy(rank)
                .ifPresent(proxy -> proxy.poll(found -> {
                    running.onProxied(found);
                    RankWish wanted = wish;
                    if (running.active()
                            && wanted != null
                            && found.epoch() == wishEpoch
                            && running.mayFollow(wanted, rank, clock.steadyMs())) {
                        proxy.orders().follow(found, wanted, () -> {});
                    }
                }));
    }

    private Optional<RankProxy> proxy(int rank) {
        return Optional.ofNullable(agents.get(rank))
                .flatMap(directory::engineBeside)
                .map(engine -> proxies.computeIfAbsent(
                        rank, unused -> new RankProxy(rank, dialect, eventLoop, engine, clock, log)));
    }

    private void tellWish(MapCoordinator running, String name, long epoch, RankWish wanted) {
        long nowMs = clock.steadyMs();
        boolean repeated = wish != null && wish.sameAs(wanted);
        boolean holdersTurn = running.mayFollow(wanted, PassSwitch.HOLDER, nowMs);
        boolean newTurn = holdersTurn && !holdersTurnTold;
        holdersTurnTold = holdersTurn;
        if (!repeated || newTurn || nowMs - wishToldMs >= WISH_REPEAT_MS) {
            wishToldMs = nowMs;
            RankMessage message = new RankMessage.Wanted(name, epoch, wanted);
            InetSocketAddress holder = agents.get(PassSwitch.HOLDER);
            directory.peers().stream()
                    .filter(peer -> holdersTurn || !peer.equals(holder))
                    .forEach(peer -> send(message, peer));
        }
        onWish(epoch, wanted);
    }

    private void onWish(long epoch, RankWish wanted) {
        wish = wanted;
        wishEpoch = epoch;
        followWish();
    }

    private void followWish() {
        RankState current = state;
        RankWish wanted = wish;
        if (current == null || wanted == null || current.epoch() != wishEpoch) {
            return;
        }
        MapCoordinator running = coordinator;
        boolean turn = current.rank() != 0
                || (running == null
                        ? !(wanted instanceof RankWish.Armed)
                        : running.mayFollow(wanted, 0, clock.steadyMs()));
        if (!turn) {
            return;
        }
        if (EngineOrder.towards(current, wanted).isEmpty()) {
            if (running == null || !running.active()) {
                wish = null;
            }
            return;
        }
        orders.follow(current, wanted, this::report);
    }

    private void readCounters() {
        RankState current = state;
        String name = group;
        if (counting || current == null || name == null) {
            return;
        }
        counting = true;
        counters.call(HttpMethod.GET, dialect.countersTarget(), NO_BODY, CALL_TIMEOUT_MS, reply -> {
            counting = false;
            replies.read(reply, "counters", dialect::readCounters)
                    .ifPresent(values -> onCounters(name, current.rank(), values));
        });
    }

    private void onCounters(String name, int rank, long[] values) {
        MapCoordinator running = coordinator;
        if (rank == 0) {
            if (running != null) {
                running.onCounters(0, 0, values, values.length, clock.steadyMs());
            }
            return;
        }
        InetSocketAddress address = agents.get(0);
        for (int offset = 0; address != null && offset < values.length; offset += COUNTERS_A_DATAGRAM) {
            long[] part = Arrays.copyOfRange(values, offset, Math.min(values.length, offset + COUNTERS_A_DATAGRAM));
            send(new RankMessage.Counters(name, rank, values.length, offset, part), address);
        }
    }

    private void sayHello() {
        RankState current = state;
        String name = group;
        if (current != null && name != null) {
            RankMessage hello = new RankMessage.Hello(name, current.rank(), current.epoch());
            directory.peers().forEach(peer -> send(hello, peer));
        }
    }

    private void send(RankMessage message, InetSocketAddress address) {
        ByteBuf bytes = Unpooled.buffer();
        RankMessage.write(bytes, message);
        sendBytes(bytes, address);
    }

    private void sendBytes(ByteBuf bytes, InetSocketAddress address) {
        Channel open = channel;
        if (open != null && open.isActive()) {
            open.writeAndFlush(new DatagramPacket(bytes, address));
        }
    }

    private void onMessage(RankMessage message, InetSocketAddress sender) {
        RankState current = state;
        if (current == null || !message.group().equals(group)) {
            return;
        }
        MapCoordinator running = coordinator();
        switch (message) {
            case RankMessage.Hello hello -> {
                if (hello.epoch() == current.epoch()) {
                    agents.put(hello.rank(), sender);
                }
            }
            case RankMessage.State told -> {
                if (running != null) {
                    RankState stamped = told.state().withReportedMs(clock.steadyMs());
                    running.onState(stamped, told.pace(), told.heldMapVersion(), told.experts());
                    if (running.active()) {
                        coordinate(running);
                    }
                }
            }
            case RankMessage.Counters told -> {
                if (running != null) {
                    running.onCounters(told.rank(), told.offset(), told.values(), told.total(), clock.steadyMs());
                }
            }
            case RankMessage.Wanted wanted -> {
                if (running == null || !running.active()) {
                    onWish(wanted.epoch(), wanted.wish());
                }
            }
        }
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            try {
                if (PaceNotice.isSubscription(packet.content())) {
                    paceNotice.onSubscription(packet.sender(), clock.steadyMs());
                    return;
                }
                RankMessage.read(packet.content()).ifPresent(message -> onMessage(message, packet.sender()));
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
