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
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.gateway.Clock;
import org.kingcuproad.gateway.ProcessMetrics;
import org.kingcuproad.gateway.SerialHttpConnection;
import org.kingcuproad.gateway.SettingsReloader;
import org.kingcuproad.gateway.StatusServer;
import org.kingcuproad.gateway.StoreDialect;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.UpstreamEntry;
import org.kingcuproad.policy.lockstep.DesiredRankState;
import org.kingcuproad.policy.lockstep.EngineOrder;
import org.kingcuproad.policy.lockstep.MapSwitchProtocol;
import org.kingcuproad.policy.lockstep.RankState;
import org.kingcuproad.policy.lockstep.SampleInterval;
import org.kingcuproad.policy.lockstep.SwitchAction;
import org.kingcuproad.runtime.log.DecisionLog;

/**
 * Agent that runs beside a model engine which is a rank of a group. It reads the state and the expert counters of its
 * engine, sends them to the agent of rank 0, and sends its engine the orders that lead to the state which the agent of
 * rank 0 requires. One event loop owns all sockets and state.
 */
public final class RankAgent {

    /**
     * Minimum time between two messages with an unchanged state; rank 0 treats silence during a change as a failure.
     */
    private static final long STATE_INTERVAL_MS = 60;

    /** Interval of the messages with the held experts, which replaces lost ones; they change with the map only. */
    private static final long HELD_EXPERTS_INTERVAL_MS = 500;

    /** Interval of checks whether a sample is due, and thus the minimum time between two samples. */
    private static final long SAMPLE_CHECK_INTERVAL_MS = 100;

    /** Time after which a restarted agent of rank 0 or 1 is known again; the datagrams have only some bytes. */
    private static final long HELLO_INTERVAL_MS = 500;
    /** The engine on the same VM responds within milliseconds, or a tenth of a second if the processor is busy. */
    private static final long CALL_TIMEOUT_MS = 300;

    /** Maximum number of engines of other ranks called in one round; sending maps to more would fill the link. */
    private static final int MAX_REMOTE_ENGINES = 4;

    /** Number of coordinating ranks: rank 0 decides on changes, rank 1 releases the hold if rank 0 has failed. */
    private static final int COORDINATOR_RANKS = 2;

    private static final byte[] NO_BODY = new byte[0];

    private RankAgentSettings settings;
    private final EngineDialect dialect;
    private final EventLoop eventLoop;
    private final Clock clock;
    private final DecisionLog log;
    private final ProcessMetrics metrics = new ProcessMetrics();
    private final ReplyReader replyReader;
    private final SerialHttpConnection reportConnection;
    private final ExpertReader expertReader;
    private final GroupDirectory directory;
    private final SlowdownNotifier slowdownNotifier = new SlowdownNotifier(this::sendBytes);
    private final Map<Integer, InetSocketAddress> agentsByRank = new HashMap<>();
    private final DesiredStateReceiver desiredStateReceiver = new DesiredStateReceiver(this::send);
    private final SampleRelay sampleRelay;
    private final RemoteEngines remoteEngines;
    private final EngineOrderSender orderSender;
    private final EngineOrderSender holdOrderSender;
    private final RankMessageTransport transport;
    private @Nullable RankState state;
    private @Nullable String group;
    private @Nullable MapCoordinator coordinator;
    private int ranks;
    private long heldExpertsSentMs = Long.MIN_VALUE / 2;
    private @Nullable RankState lastSentState;
    private long stateSentMs = Long.MIN_VALUE / 2;
    private final DesiredStateAnnouncer announcer = new DesiredStateAnnouncer(this::send);
    private @Nullable DesiredRankState desiredState;
    private long desiredEpoch;
    private final ReportScheduler reportScheduler;
    private double slowdown = 1;
    private boolean reportInProgress;
    private boolean coordinationScheduled;

    /**
     * Creates an agent, which does nothing before {@link #start}.
     *
     * @param settings settings at the start
     * @param dialect format of the engine's HTTP interface
     * @param upstreamDialect format of the registered upstreams in the store
     * @param configurationDialect format of the configuration in the store
     * @param eventLoops a group with one event loop
     * @param clock clocks of the VM
     * @param log log of the process
     */
    public RankAgent(
            RankAgentSettings settings,
            EngineDialect dialect,
            StoreDialect<UpstreamEntry> upstreamDialect,
            StoreDialect<GatewayConfiguration> configurationDialect,
            EventLoopGroup eventLoops,
            Clock clock,
            DecisionLog log) {
        this.settings = settings;
        this.dialect = dialect;
        this.eventLoop = eventLoops.next();
        this.clock = clock;
        this.log = log;
        this.reportScheduler = new ReportScheduler(eventLoop, clock, this::readReport);
        this.transport = new RankMessageTransport(
                log, this::onMessage, gateway -> slowdownNotifier.onSubscription(gateway, clock.steadyMs()));
        this.replyReader = new ReplyReader(log);
        this.reportConnection = new SerialHttpConnection(eventLoop, settings.engineAddress());
        this.expertReader = new ExpertReader(dialect, replyReader, eventLoop, settings.engineAddress());
        this.sampleRelay = new SampleRelay(settings.agentAddress(), expertReader, clock, this::send);
        this.remoteEngines = new RemoteEngines(dialect, eventLoop, clock, log, metrics);
        this.directory =
                new GroupDirectory(settings, upstreamDialect, configurationDialect, eventLoop, this::coordinates, log);
        this.orderSender = new EngineOrderSender(dialect, eventLoop, settings.engineAddress(), clock, log, metrics);
        this.holdOrderSender = new EngineOrderSender(dialect, eventLoop, settings.engineAddress(), clock, log, metrics);
    }

    /**
     * Applies changes of the settings while the agent runs.
     *
     * @param source source of the settings
     * @return the follower, already started
     */
    public SettingsReloader<RankAgentSettings> followSettings(SettingsReloader.Source<RankAgentSettings> source) {
        SettingsReloader<RankAgentSettings> follower =
                new SettingsReloader<>(eventLoop, source, settings, this::applySettings, log);
        follower.start();
        return follower;
    }

    private void applySettings(RankAgentSettings newSettings) {
        RankAgentSettings applied = settings.withLinkMbps(newSettings.linkMbps());
        log.event("settings changed")
                .field("linkMbps", Math.round(applied.linkMbps()))
                .field("needsRestart", !applied.equals(newSettings))
                .write();
        settings = applied;
    }

    /** Opens the sockets and starts the periodic tasks. */
    public void start() {
        eventLoop.execute(() -> {
            transport.open(eventLoop, settings.agentAddress());
            reportScheduler.start();
            scheduleEvery(SAMPLE_CHECK_INTERVAL_MS, this::sampleIfDue);
            scheduleEvery(HELLO_INTERVAL_MS, this::sendHello);
            StatusServer.listen(
                    eventLoop, settings.metricsAddress(), () -> new StatusServer.Status(true, metrics.render()));
            directory.start();
            log.event("rank agent started").field("name", settings.name()).write();
        });
    }

    /** Closes the connections to the engine on the same VM and to the store. */
    public void close() {
        eventLoop.execute(() -> {
            log.event("rank agent stopped").write();
            reportConnection.close();
            expertReader.close();
            directory.close();
            orderSender.close();
            holdOrderSender.close();
        });
    }

    private void scheduleEvery(long periodMs, Runnable task) {
        eventLoop.scheduleWithFixedDelay(task, 0, periodMs, TimeUnit.MILLISECONDS);
    }

    private boolean changeInProgress() {
        MapCoordinator mapCoordinator = coordinator;
        return desiredState != null || (mapCoordinator != null && mapCoordinator.changeInProgress());
    }

    private void updateReportSchedule() {
        reportScheduler.update(changeInProgress(), coordinates());
    }

    private void readReport() {
        if (reportInProgress) {
            return;
        }
        reportInProgress = true;
        reportConnection.call(HttpMethod.GET, dialect.reportTarget(), NO_BODY, CALL_TIMEOUT_MS, reply -> {
            reportInProgress = false;
            replyReader.read(reply, "report", dialect::readReport).ifPresent(this::onReport);
        });
    }

    private void onReport(EngineReport report) {
        if (report.membership().isEmpty()) {
            return;
        }
        EngineReport.GroupMembership membership = report.membership().get();
        RankState previous = state;
        if (previous == null || previous.epoch() != membership.epoch() || previous.rank() != membership.rank()) {
            desiredState = null;
            agentsByRank.clear();
            remoteEngines.closeAll();
            log.event("group membership changed")
                    .field("group", membership.group())
                    .field("rank", membership.rank())
                    .field("epoch", membership.epoch())
                    .write();
            ranks = membership.ranks();
            group = membership.group();
            coordinator = null;
            expertReader.reset();
            desiredStateReceiver.reset();
            sampleRelay.reset();
        }
        RankState current = report.state(clock.steadyMs()).orElseThrow();
        state = current;
        slowdown = report.slowdown();
        slowdownNotifier.onReport(report, agentsByRank.values(), changeInProgress(), clock.steadyMs());
        if (expertReader.heldExperts(current).isEmpty()) {
            expertReader.readHeldExperts(current.epoch(), () -> onHeldExperts(current));
        }
        publishState(current);
        sendNextOrder();
        updateReportSchedule();
    }

    private void onHeldExperts(RankState current) {
        heldExpertsSentMs = Long.MIN_VALUE / 2;
        expertReader
                .heldExperts(current)
                .ifPresent(held -> directory
                        .shape()
                        .ifPresent(shape -> desiredStateReceiver.onHeldExperts(shape, ranks, current.rank(), held)));
    }

    private void publishState(RankState current) {
        String groupName = group;
        if (groupName == null) {
            return;
        }
        long nowMs = clock.steadyMs();
        RankState lastSent = lastSentState;
        if (lastSent == null || !lastSent.equalsIgnoringProgress(current) || nowMs - stateSentMs >= STATE_INTERVAL_MS) {
            lastSentState = current;
            stateSentMs = nowMs;
            sendToCoordinators(new RankMessage.State(groupName, current, slowdown));
        }
        MapCoordinator mapCoordinator = coordinator();
        if (nowMs - heldExpertsSentMs >= HELD_EXPERTS_INTERVAL_MS) {
            expertReader.heldExperts(current).ifPresent(experts -> {
                heldExpertsSentMs = nowMs;
                sendToCoordinators(new RankMessage.HeldExperts(groupName, current.rank(), experts));
                if (mapCoordinator != null) {
                    mapCoordinator.onHeldExperts(current.rank(), experts);
                }
            });
        }
        if (mapCoordinator != null) {
            mapCoordinator.onState(current, slowdown);
            mapCoordinator.recoverAbandonedHold(nowMs);
            coordinate(mapCoordinator);
        }
    }

    /** Sends a message to the agents of the coordinating ranks, except this one. */
    private void sendToCoordinators(RankMessage message) {
        RankState own = state;
        for (int rank = 0; rank < COORDINATOR_RANKS; rank++) {
            InetSocketAddress address = agentsByRank.get(rank);
            if (address != null && own != null && rank != own.rank()) {
                send(message, address);
            }
        }
    }

    private boolean coordinates() {
        RankState current = state;
        return current != null && current.rank() < COORDINATOR_RANKS;
    }

    private @Nullable MapCoordinator coordinator() {
        RankState current = state;
        if (coordinator == null && current != null && current.rank() < COORDINATOR_RANKS && ranks > 1) {
            coordinator = directory
                    .shape()
                    .map(shape ->
                            new MapCoordinator(ranks, current.rank(), shape, directory.maxPauseMs(), log, metrics))
                    .orElse(null);
        }
        return coordinator;
    }

    /** Coordinates once for all states that have arrived together; a large group sends some thousand per second. */
    private void coordinateSoon() {
        if (!coordinationScheduled) {
            coordinationScheduled = true;
            eventLoop.execute(() -> {
                coordinationScheduled = false;
                MapCoordinator mapCoordinator = coordinator;
                if (mapCoordinator != null) {
                    coordinate(mapCoordinator);
                }
            });
        }
    }

    private void coordinate(MapCoordinator mapCoordinator) {
        RankState own = state;
        String groupName = group;
        if (own == null || groupName == null) {
            return;
        }
        for (SwitchAction action : mapCoordinator.nextActions(own, clock.steadyMs())) {
            switch (action) {
                case SwitchAction.Hold hold ->
                    orderHoldRank(
                            new EngineOrder.Hold(hold.step()),
                            own,
                            accepted -> mapCoordinator.onHold(hold.step(), accepted, clock.steadyMs()));
                case SwitchAction.Release release ->
                    orderHoldRank(
                            new EngineOrder.Release(release.step()),
                            own,
                            accepted -> mapCoordinator.onRelease(release.step(), accepted, clock.steadyMs()));
                case SwitchAction.SetDesiredState announcement ->
                    announce(mapCoordinator, groupName, own.epoch(), announcement.desired());
            }
        }
        if (!mapCoordinator.changeInProgress() && own.rank() == 0) {
            desiredState = null;
        }
        if (mapCoordinator.planning()) {
            coordinateSoon();
        }
        updateReportSchedule();
        mapCoordinator.silentRanks(clock.steadyMs()).stream()
                .limit(MAX_REMOTE_ENGINES)
                .forEach(rank -> callRemoteEngine(rank, mapCoordinator));
    }

    /** Sends an order to the engine at which passes are held, and reads the state of the own engine after it. */
    private void orderHoldRank(EngineOrder order, RankState own, Consumer<Boolean> onAnswer) {
        Optional<EngineOrderSender> sender = own.rank() == MapSwitchProtocol.HOLD_RANK
                ? Optional.of(holdOrderSender)
                : remoteEngine(MapSwitchProtocol.HOLD_RANK).map(RemoteEngine::orderSender);
        sender.ifPresent(holdSender -> holdSender.send(order, own.epoch(), accepted -> {
            onAnswer.accept(accepted);
            readReport();
        }));
    }

    private void callRemoteEngine(int rank, MapCoordinator mapCoordinator) {
        remoteEngine(rank)
                .ifPresent(engine -> engine.poll(remoteState -> {
                    mapCoordinator.onRemoteState(remoteState);
                    DesiredRankState desired = desiredState;
                    if (mapCoordinator.changeInProgress()
                            && desired != null
                            && remoteState.epoch() == desiredEpoch
                            && mapCoordinator.appliesTo(desired, rank, clock.steadyMs())) {
                        engine.orderSender().sendNext(remoteState, desired, () -> {});
                    }
                }));
    }

    private Optional<RemoteEngine> remoteEngine(int rank) {
        Optional<InetSocketAddress> agent = Optional.ofNullable(agentsByRank.get(rank));
        return agent.flatMap(directory::engineOf).map(address -> remoteEngines.of(rank, address));
    }

    private void announce(MapCoordinator mapCoordinator, String groupName, long epoch, DesiredRankState desired) {
        int ownRank = Optional.ofNullable(state).map(RankState::rank).orElse(0);
        announcer.announce(mapCoordinator, groupName, epoch, desired, ownRank, agentsByRank, clock.steadyMs());
        onDesiredState(epoch, desired);
    }

    private void onDesiredState(long epoch, DesiredRankState desired) {
        desiredStateReceiver.remember(
                desired, Optional.ofNullable(state).map(RankState::mapVersion).orElse(RankState.NONE));
        desiredState = desired;
        desiredEpoch = epoch;
        reportScheduler.onDesiredState();
        sendNextOrder();
        updateReportSchedule();
    }

    private void sendNextOrder() {
        RankState current = state;
        DesiredRankState desired = desiredState;
        MapCoordinator mapCoordinator = coordinator;
        if (current == null || desired == null || current.epoch() != desiredEpoch) {
            return;
        }
        boolean applies = current.rank() != 0
                || (mapCoordinator == null
                        ? !(desired instanceof DesiredRankState.Armed)
                        : mapCoordinator.appliesTo(desired, 0, clock.steadyMs()));
        if (!applies) {
            return;
        }
        if (EngineOrder.next(current, desired).isEmpty()) {
            if (mapCoordinator == null || !mapCoordinator.changeInProgress()) {
                desiredState = null;
            }
            return;
        }
        orderSender.sendNext(current, desired, this::readReport);
    }

    private void sampleIfDue() {
        RankState current = state;
        String groupName = group;
        if (current != null && groupName != null) {
            directory
                    .shape()
                    .map(shape -> SampleInterval.intervalMs(shape, ranks, settings.linkMbps()))
                    .ifPresent(intervalMs -> sampleRelay.sampleIfDue(
                            groupName, current.rank(), intervalMs, coordinator, agentsByRank.get(0)));
        }
    }

    private void sendHello() {
        RankState current = state;
        String groupName = group;
        if (current != null && groupName != null && coordinates()) {
            List<InetSocketAddress> collectors = Optional.ofNullable(coordinator)
                    .map(mapCoordinator -> mapCoordinator.collectors(agentsByRank, clock.steadyMs()))
                    .orElse(List.of());
            RankMessage hello = new RankMessage.Hello(groupName, current.rank(), current.epoch(), collectors);
            directory.peers().forEach(peer -> send(hello, peer));
        }
    }

    private void send(RankMessage message, InetSocketAddress address) {
        transport.send(message, address);
    }

    private void sendBytes(ByteBuf bytes, InetSocketAddress address) {
        transport.sendBytes(bytes, address);
    }

    private void onMessage(RankMessage message, InetSocketAddress sender) {
        RankState current = state;
        if (current == null || !message.group().equals(group)) {
            return;
        }
        MapCoordinator mapCoordinator = coordinator();
        switch (message) {
            case RankMessage.Hello hello -> {
                if (hello.epoch() == current.epoch()) {
                    agentsByRank.put(hello.rank(), sender);
                    if (hello.rank() == 0) {
                        sampleRelay.setCollectors(hello.collectors());
                    }
                }
            }
            case RankMessage.State peerState -> {
                if (peerState.state().epoch() == current.epoch()) {
                    agentsByRank.put(peerState.state().rank(), sender);
                }
                if (mapCoordinator != null) {
                    mapCoordinator.onState(peerState.state().withReportedMs(clock.steadyMs()), peerState.slowdown());
                    if (mapCoordinator.changeInProgress()) {
                        coordinateSoon();
                    }
                }
            }
            case RankMessage.HeldExperts heldExperts -> {
                if (mapCoordinator != null) {
                    mapCoordinator.onHeldExperts(heldExperts.rank(), heldExperts.experts());
                }
            }
            case RankMessage.Choices choices -> {
                if (current.rank() != 0) {
                    sampleRelay.collect(choices.sample());
                } else if (mapCoordinator != null) {
                    mapCoordinator.onChoices(choices.sample(), clock.steadyMs());
                }
            }
            case RankMessage.Forwarded received ->
                desiredStateReceiver.receive(received, current.epoch()).ifPresent(desired -> {
                    if (mapCoordinator == null || !mapCoordinator.changeInProgress()) {
                        onDesiredState(received.epoch(), desired);
                    }
                });
        }
    }
}
