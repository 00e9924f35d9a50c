package org.kingcuproad.gateway.rank;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.gateway.Clock;
import org.kingcuproad.gateway.ProcessMetrics;
import org.kingcuproad.gateway.SerialHttpConnection;
import org.kingcuproad.gateway.SettingsReloader;
import org.kingcuproad.gateway.StatusServer;
import org.kingcuproad.gateway.StoreDialect;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.UpstreamEntry;
import org.kingcuproad.policy.lockstep.ChoiceSample;
import org.kingcuproad.policy.lockstep.DesiredRankState;
import org.kingcuproad.policy.lockstep.EngineOrder;
import org.kingcuproad.policy.lockstep.MapSwitchProtocol;
import org.kingcuproad.policy.lockstep.RankState;
import org.kingcuproad.policy.lockstep.SampleInterval;
import org.kingcuproad.policy.lockstep.SwitchAction;
import org.kingcuproad.runtime.log.DecisionLog;

/**
 * The agent beside a model engine that is a rank of a group.
 *
 * <p>It reads its engine's state and counters, tells them to the agent of rank 0, and gives its engine the orders that
 * the agent of rank 0 asks for. One event loop owns all sockets and state.
 */
public final class RankAgent {

    /** Least time between two messages of an unchanged state during a change; rank 0 takes silence for a fault. */
    private static final long ACTIVE_TELL_MS = 60;

    /** Held experts change with the map only; a lost datagram is replaced this soon. */
    private static final long TELL_HELD_MS = 500;

    /** Samples are due at most this often. */
    private static final long SAMPLE_CHECK_MS = 100;

    /** A restarted agent of rank 0 or 1 is known again after this time; the datagrams are some bytes. */
    private static final long HELLO_MS = 500;
    /** The engine on the same VM answers in milliseconds, but a busy processor may take a tenth of a second. */
    private static final long CALL_TIMEOUT_MS = 300;

    /** Ranks at whose engines this agent acts at the same time; maps for more would fill its link. */
    private static final int MOST_PROXIED = 4;

    /** Rank 0 decides, rank 1 ends a hold that rank 0 left behind. */
    private static final int DECIDING_RANKS = 2;

    private static final byte[] NO_BODY = new byte[0];

    private RankAgentSettings settings;
    private final EngineDialect dialect;
    private final EventLoop eventLoop;
    private final Clock clock;
    private final DecisionLog log;
    private final ProcessMetrics metrics = new ProcessMetrics();
    private final ReplyReader replies;
    private final SerialHttpConnection reports;
    private final EngineCounters counters;
    private final GroupDirectory directory;
    private final PaceNotice paceNotice = new PaceNotice(this::sendBytes);
    private final Map<Integer, InetSocketAddress> agents = new HashMap<>();
    private final RankProxies proxies;
    private final RankOrders orders;
    private final RankOrders holds;
    private final RankDatagrams datagrams;
    private @Nullable RankState state;
    private @Nullable String group;
    private @Nullable MapCoordinator coordinator;
    private int ranks;
    private long heldToldMs = Long.MIN_VALUE / 2;
    private @Nullable RankState toldState;
    private long stateToldMs = Long.MIN_VALUE / 2;
    private final WishSpreader spreader = new WishSpreader(this::send);
    private @Nullable DesiredRankState wish;
    private long wishEpoch;
    private boolean holdersTurnTold;
    private long sampledMs = Long.MIN_VALUE / 2;
    private final ReportSchedule schedule;
    private double pace = 1;
    private boolean reporting;
    private boolean coordinating;

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
        this.schedule = new ReportSchedule(eventLoop, clock, this::report);
        this.datagrams = new RankDatagrams(log, this::onMessage, this::onSubscription);
        this.replies = new ReplyReader(log);
        this.reports = new SerialHttpConnection(eventLoop, settings.engineAddress());
        this.counters = new EngineCounters(dialect, replies, eventLoop, settings.engineAddress());
        this.proxies = new RankProxies(dialect, eventLoop, clock, log, metrics);
        this.directory = new GroupDirectory(settings, register, configuration, eventLoop, log);
        this.orders = new RankOrders(dialect, eventLoop, settings.engineAddress(), clock, log, metrics);
        this.holds = new RankOrders(dialect, eventLoop, settings.engineAddress(), clock, log, metrics);
    }

    /**
     * Follows the settings while the agent runs.
     *
     * @param source where settings come from
     * @return the follower, which has been started
     */
    public SettingsReloader<RankAgentSettings> followSettings(SettingsReloader.Source<RankAgentSettings> source) {
        SettingsReloader<RankAgentSettings> follower =
                new SettingsReloader<>(eventLoop, source, settings, this::apply, log);
        follower.start();
        return follower;
    }

    private void apply(RankAgentSettings next) {
        RankAgentSettings applied = settings.withLinkMbps(next.linkMbps());
        log.event("settings changed")
                .field("linkMbps", Math.round(applied.linkMbps()))
                .field("needsRestart", !applied.equals(next))
                .write();
        settings = applied;
    }

    /** Starts the agent. */
    public void start() {
        eventLoop.execute(() -> {
            datagrams.open(eventLoop, settings.agentAddress());
            schedule.start();
            every(SAMPLE_CHECK_MS, this::sampleIfDue);
            every(HELLO_MS, this::sayHello);
            StatusServer.listen(
                    eventLoop, settings.metricsAddress(), () -> new StatusServer.Status(true, metrics.render()));
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

    private boolean active() {
        MapCoordinator running = coordinator;
        return wish != null || (running != null && running.active());
    }

    private void adjustReports() {
        RankState current = state;
        schedule.adjust(active(), current != null && current.rank() < DECIDING_RANKS);
    }

    private void report() {
        if (reporting) {
            return;
        }
        reporting = true;
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
            proxies.forget();
            log.event("place in group")
                    .field("group", place.group())
                    .field("rank", place.rank())
                    .field("epoch", place.epoch())
                    .write();
            ranks = place.ranks();
            group = place.group();
            coordinator = null;
            counters.forget();
        }
        RankState current = report.state(clock.steadyMs()).orElseThrow();
        state = current;
        pace = report.pace();
        paceNotice.send(pace, clock.steadyMs());
        if (counters.held(current).isEmpty()) {
            counters.readHeld(current.epoch(), () -> heldToldMs = Long.MIN_VALUE / 2);
        }
        tell(current);
        followWish();
        adjustReports();
    }

    private void tell(RankState current) {
        String name = group;
        if (name == null) {
            return;
        }
        long nowMs = clock.steadyMs();
        RankState told = toldState;
        if (told == null || !told.equalsIgnoringProgress(current) || nowMs - stateToldMs >= ACTIVE_TELL_MS) {
            toldState = current;
            stateToldMs = nowMs;
            tellDeciding(new RankMessage.State(name, current, pace));
        }
        MapCoordinator running = coordinator();
        if (nowMs - heldToldMs >= TELL_HELD_MS) {
            counters.held(current).ifPresent(experts -> {
                heldToldMs = nowMs;
                tellDeciding(new RankMessage.Held(name, current.rank(), experts));
                if (running != null) {
                    running.onHeld(current.rank(), experts);
                }
            });
        }
        if (running != null) {
            running.onState(current, pace);
            running.rescueIfAbandoned(nowMs);
            coordinate(running);
        }
    }

    /** Sends a message to the agents that decide on changes, except this one. */
    private void tellDeciding(RankMessage message) {
        RankState own = state;
        for (int rank = 0; rank < DECIDING_RANKS; rank++) {
            InetSocketAddress address = agents.get(rank);
            if (address != null && own != null && rank != own.rank()) {
                send(message, address);
            }
        }
    }

    private @Nullable MapCoordinator coordinator() {
        RankState current = state;
        if (coordinator == null && current != null && current.rank() < DECIDING_RANKS && ranks > 1) {
            coordinator = directory
                    .shape()
                    .map(shape -> new MapCoordinator(ranks, current.rank(), shape, log, metrics))
                    .orElse(null);
        }
        return coordinator;
    }

    /** Decides once for all states that have arrived together; there are some thousand a second in a large group. */
    private void coordinateSoon() {
        if (!coordinating) {
            coordinating = true;
            eventLoop.execute(() -> {
                coordinating = false;
                MapCoordinator running = coordinator;
                if (running != null) {
                    coordinate(running);
                }
            });
        }
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
                case SwitchAction.SetDesiredState wanted -> tellWish(running, name, own.epoch(), wanted.desired());
            }
        }
        if (!running.active() && own.rank() == 0) {
            wish = null;
        }
        adjustReports();
        running.silentRanks(clock.steadyMs()).stream().limit(MOST_PROXIED).forEach(rank -> actFor(rank, running));
    }

    /** Returns who gives orders to the engine at which passes are held. */
    private Optional<RankOrders> holder() {
        RankState own = state;
        return own != null && own.rank() == MapSwitchProtocol.HOLD_RANK
                ? Optional.of(holds)
                : proxy(MapSwitchProtocol.HOLD_RANK).map(RankProxy::orders);
    }

    private void actFor(int rank, MapCoordinator running) {
        proxy(rank)
                .ifPresent(proxy -> proxy.poll(found -> {
                    running.onProxied(found);
                    DesiredRankState wanted = wish;
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
                .map(engine -> proxies.of(rank, engine));
    }

    private void tellWish(MapCoordinator running, String name, long epoch, DesiredRankState wanted) {
        long nowMs = clock.steadyMs();
        boolean holdersTurn = running.mayFollow(wanted, MapSwitchProtocol.HOLD_RANK, nowMs);
        boolean newTurn = holdersTurn && !holdersTurnTold;
        holdersTurnTold = holdersTurn;
        if (newTurn || spreader.due(wanted, nowMs)) {
            int ownRank = Optional.ofNullable(state).map(RankState::rank).orElse(0);
            List<InetSocketAddress> receivers = agents.entrySet().stream()
                    .filter(agent -> agent.getKey() != ownRank)
                    .filter(agent -> holdersTurn || agent.getKey() != MapSwitchProtocol.HOLD_RANK)
                    .filter(agent -> running.pending(agent.getKey(), wanted))
                    .map(Map.Entry::getValue)
                    .toList();
            spreader.spread(new RankMessage.Wanted(name, epoch, wanted, List.of()), receivers, nowMs);
        }
        onWish(epoch, wanted);
    }

    private void onWish(long epoch, DesiredRankState wanted) {
        wish = wanted;
        wishEpoch = epoch;
        schedule.onWish();
        followWish();
        adjustReports();
    }

    private void followWish() {
        RankState current = state;
        DesiredRankState wanted = wish;
        if (current == null || wanted == null || current.epoch() != wishEpoch) {
            return;
        }
        MapCoordinator running = coordinator;
        boolean turn = current.rank() != 0
                || (running == null
                        ? !(wanted instanceof DesiredRankState.Armed)
                        : running.mayFollow(wanted, 0, clock.steadyMs()));
        if (!turn) {
            return;
        }
        if (EngineOrder.next(current, wanted).isEmpty()) {
            if (running == null || !running.active()) {
                wish = null;
            }
            return;
        }
        orders.follow(current, wanted, this::report);
    }

    private void sampleIfDue() {
        RankState current = state;
        String name = group;
        long nowMs = clock.steadyMs();
        long intervalMs = directory
                .shape()
                .map(shape -> SampleInterval.intervalMs(shape, ranks, settings.linkMbps()))
                .orElse(Long.MAX_VALUE);
        if (current != null
                && name != null
                && nowMs - sampledMs >= intervalMs
                && counters.sample(sample -> onSample(name, current.rank(), sample))) {
            sampledMs = nowMs;
        }
    }

    private void onSample(String name, int rank, ChoiceSample sample) {
        MapCoordinator running = coordinator;
        InetSocketAddress address = agents.get(0);
        if (rank == 0 && running != null) {
            running.onChoices(sample, clock.steadyMs());
        } else if (rank != 0 && address != null) {
            send(new RankMessage.Choices(name, sample), address);
        }
    }

    private void sayHello() {
        RankState current = state;
        String name = group;
        if (current != null && name != null && current.rank() < DECIDING_RANKS) {
            RankMessage hello = new RankMessage.Hello(name, current.rank(), current.epoch());
            directory.peers().forEach(peer -> send(hello, peer));
        }
    }

    private void send(RankMessage message, InetSocketAddress address) {
        datagrams.send(message, address);
    }

    private void sendBytes(ByteBuf bytes, InetSocketAddress address) {
        datagrams.sendBytes(bytes, address);
    }

    private void onSubscription(InetSocketAddress gateway) {
        paceNotice.onSubscription(gateway, clock.steadyMs());
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
                if (told.state().epoch() == current.epoch()) {
                    agents.put(told.state().rank(), sender);
                }
                if (running != null) {
                    running.onState(told.state().withReportedMs(clock.steadyMs()), told.pace());
                    if (running.active()) {
                        coordinateSoon();
                    }
                }
            }
            case RankMessage.Held told -> {
                if (running != null) {
                    running.onHeld(told.rank(), told.experts());
                }
            }
            case RankMessage.Choices told -> {
                if (running != null) {
                    running.onChoices(told.sample(), clock.steadyMs());
                }
            }
            case RankMessage.Wanted wanted -> {
                wanted.passOnTo().forEach(other -> send(wanted.withPassOnTo(List.of()), other));
                if (running == null || !running.active()) {
                    onWish(wanted.epoch(), wanted.wish());
                }
            }
        }
    }
}
