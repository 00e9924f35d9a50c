package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.gateway.enginegroup.EngineGroupMonitor;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.evacuation.EvacuatedDataCentres;
import org.kingcuproad.policy.gateway.RetryAfter;
import org.kingcuproad.policy.gateway.StoreContact;
import org.kingcuproad.policy.gateway.UpstreamEntry;
import org.kingcuproad.policy.gateway.WindowedRetryBudget;
import org.kingcuproad.policy.quarantine.QuarantinedPrompt;
import org.kingcuproad.runtime.log.DecisionLog;

/**
 * A gateway, which forwards each client request to an upstream of the service that the request's route selects.
 *
 * <p>All sockets and state belong to a single event loop.
 */
public final class Gateway {

    /** Interval at which deadlines and timeouts are checked; clients tolerate deviations of half a second. */
    private static final long SWEEP_INTERVAL_MS = 25;

    /** Interval at which this gateway sends its loads to its peers while there are few of them. */
    private static final long PEER_LOADS_MS = 50;

    /**
     * Number of peers above which the interval grows. The number of messages grows with the square of the number of
     * gateways, while each gateway handles a smaller fraction of the requests.
     */
    private static final int FULL_RATE_PEERS = 6;

    /** Maximum configuration age for denying a request (4xx); an older one may lack a route or key that exists. */
    private static final long MAX_DENIAL_AGE_MS = 2_500;

    /**
     * Number of gateways among which the slack of the retry budget is divided. It exceeds the number that the users
     * run, because a gateway does not know for certain how many there are.
     */
    private static final int RETRY_SLACK_DIVISOR = 20;

    private GatewaySettings settings;
    private final GatewayDialect dialect;
    private final EventLoop eventLoop;
    private final Clock clock;
    private final DecisionLog log;
    private final StoreView storeView;
    private final StoreWatchers storeWatchers;
    private final PeerLoads peerLoads = new PeerLoads();
    private final PeerChannel peerChannel;
    private final PeerDirectory peerDirectory;
    private final ProcessMetrics metrics = new ProcessMetrics();
    private final EngineGroupMonitor engineGroups;
    private final EventLoopMonitor eventLoopMonitor;
    private final QuarantineStore quarantineStore;
    private final UpstreamLimits upstreamLimits;
    private final Map<String, ServiceDispatcher> dispatchers = new HashMap<>();
    private final EndReports endReports;
    private final ClientConnections connections = new ClientConnections();
    private final HeldMemory memory;
    private @Nullable ClientListener listener;
    private long lastSweepSteadyMs;
    private final SuspensionDetector suspensions = new SuspensionDetector();
    private final GracefulShutdown shutdown;
    private boolean lastReady;

    /**
     * Creates a gateway that is not started.
     *
     * @param settings initial settings
     * @param dialect formats and names of the platform's interfaces
     * @param eventLoops a group with one event loop
     * @param clock clocks of the VM
     * @param log log of the process
     */
    public Gateway(
            GatewaySettings settings, GatewayDialect dialect, EventLoopGroup eventLoops, Clock clock, DecisionLog log) {
        this.settings = settings;
        this.dialect = dialect;
        this.eventLoop = eventLoops.next();
        this.clock = clock;
        this.log = log;
        metrics.expose("log_lines_suppressed", log::suppressedLines);
        metrics.expose("log_lines_dropped", log::droppedLines);
        this.memory = HeldMemory.ofProcess(metrics, log);
        this.engineGroups = new EngineGroupMonitor(metrics, log);
        this.eventLoopMonitor = new EventLoopMonitor(metrics, log);
        this.shutdown = new GracefulShutdown(() -> this.settings.drainGraceMs(), log);
        this.storeView = new StoreView(log, clock, settings, this::onStoreViewChanged);
        this.storeWatchers = new StoreWatchers(eventLoop, clock, settings, dialect, storeView, metrics, log);
        this.peerChannel = new PeerChannel(log, settings.name(), peerLoads, new PeerReportHandler(this), clock);
        this.upstreamLimits = new UpstreamLimits(settings.name(), this::allUpstreams, peerChannel::send, log);
        this.endReports = new EndReports(settings.name(), dispatchers, peerChannel::send);
        this.quarantineStore = new QuarantineStore(
                eventLoop,
                clock,
                dialect.quarantines(),
                new SerialHttpConnection(eventLoop, settings.storeAddress()),
                this::onStoredQuarantine,
                log);
        this.peerDirectory = new PeerDirectory(eventLoop, dialect.gateways(), settings, peerLoads, clock, log);
    }

    /**
     * Starts to reload the settings while the gateway runs.
     *
     * @param source source of the settings
     * @return the reloader, already started
     */
    public SettingsReloader<GatewaySettings> startSettingsReloader(SettingsReloader.Source<GatewaySettings> source) {
        SettingsReloader<GatewaySettings> reloader =
                new SettingsReloader<>(eventLoop, source, settings, this::applySettings, log);
        reloader.start();
        return reloader;
    }

    private void applySettings(GatewaySettings changed) {
        GatewaySettings applied = settings.withReloadableSettingsOf(changed);
        log.event("settings changed")
                .field("revokeMs", applied.revokeMs())
                .field("drainGraceMs", applied.drainGraceMs())
                .field("retrySlack", Math.round(applied.retrySlack()))
                .field("needsRestart", !applied.equals(changed))
                .write();
        settings = applied;
        storeView.adjust(applied);
        dispatchers.values().forEach(dispatcher -> dispatcher.adjustBudget(budgetLimits()));
    }

    private WindowedRetryBudget.Limits budgetLimits() {
        return new WindowedRetryBudget.Limits(
                settings.retryRatio(), settings.retryWindowMs(), settings.retrySlack() / RETRY_SLACK_DIVISOR);
    }

    /** Binds the listening sockets and starts to watch the store. */
    public void start() {
        eventLoop.execute(() -> {
            lastSweepSteadyMs = clock.steadyMs();
            suspensions.suspended(lastSweepSteadyMs, clock.wallMs());
            ClientListener opened =
                    ClientListener.open(eventLoop, settings.clientAddress(), storeView::limits, this::createConnection);
            listener = opened;
            BindFailureReporter bindFailures = new BindFailureReporter(log, shutdown.stopped());
            bindFailures.stopOnFailure(opened.bound());
            bindFailures.stopOnFailure(StatusServer.listen(eventLoop, settings.readyAddress(), this::readiness));
            bindFailures.logFailure(StatusServer.listen(
                    eventLoop, settings.metricsAddress(), () -> new StatusServer.Status(true, metrics.render())));
            peerChannel.open(eventLoop, settings.peerAddress());
            storeWatchers.start();
            peerDirectory.start();
            quarantineStore.start();
            eventLoop.scheduleWithFixedDelay(this::sweep, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
            sendLoadsToPeers();
            peerChannel.startSubscriptions(
                    eventLoop, dispatchers.values(), settings.peerAddress().getPort());
            log.event("gateway started")
                    .field("name", settings.name())
                    .field("dataCentre", settings.dataCentre())
                    .write();
        });
    }

    /**
     * Returns a future that completes when the process may exit.
     *
     * @return completes normally after {@link #drain}, or exceptionally if the gateway can't bind an address
     */
    public CompletableFuture<Void> stopped() {
        return shutdown.stopped();
    }

    /** Starts a graceful shutdown: reports not ready, finishes open requests and stops within the grace period. */
    public void drain() {
        long nowMs = clock.steadyMs();
        eventLoop.execute(() -> shutdown.start(connections.size(), nowMs));
    }

    private ClientConnection createConnection(Channel channel) {
        ClientConnection connection = new ClientConnection(this, channel, storeView::limits, memory);
        connections.add(connection, clock.steadyMs());
        return connection;
    }

    /** Returns the number of client connections accepted since the start. */
    long acceptedConnections() {
        return connections.accepted();
    }

    /** Opens a connection to an upstream for an attempt. */
    void connect(Upstream upstream, Attempt attempt, BiConsumer<Attempt, UpstreamConnection> onOpen) {
        metrics.count("upstream_connections_opened");
        UpstreamConnector.connect(eventLoop, clock, names(), upstream, attempt, onOpen);
    }

    /** Schedules a task on the event loop, to run after the current one. */
    void execute(Runnable task) {
        eventLoop.execute(task);
    }

    GatewaySettings settings() {
        return settings;
    }

    HeaderNames names() {
        return dialect.headers();
    }

    Clock clock() {
        return clock;
    }

    DecisionLog log() {
        return log;
    }

    /** Opens a connection to an upstream without a request, to find out whether it listens. */
    void probe(Upstream upstream, long delayMs, Consumer<ProbeResult> onResult) {
        metrics.count("upstream_connections_opened");
        UpstreamConnector.probe(eventLoop, clock, names(), upstream, delayMs, onResult);
    }

    QuarantineStore quarantineStore() {
        return quarantineStore;
    }

    ProcessMetrics metrics() {
        return metrics;
    }

    EngineGroupMonitor engineGroups() {
        return engineGroups;
    }

    void sendToPeers(CrashReport report) {
        peerChannel.send(report);
    }

    EndReports endReports() {
        return endReports;
    }

    UpstreamLimits upstreamLimits() {
        return upstreamLimits;
    }

    Optional<ServiceDispatcher> knownDispatcher(String service) {
        return Optional.ofNullable(dispatchers.get(service));
    }

    private void onStoredQuarantine(QuarantinedPrompt prompt) {
        dispatcher(prompt.service()).crashProtection().guard().onStored(prompt, clock.steadyMs());
    }

    EvacuatedDataCentres evacuations() {
        return storeView.evacuations();
    }

    StoreContact storeContact() {
        return storeView.storeContact();
    }

    PeerLoads peerLoads() {
        return peerLoads;
    }

    boolean draining() {
        return shutdown.started();
    }

    GracefulShutdown shutdown() {
        return shutdown;
    }

    private boolean ready() {
        return storeView.ready() && !draining();
    }

    private StatusServer.Status readiness() {
        boolean ready = ready();
        return new StatusServer.Status(ready, ready ? "ready\n" : "not ready\n");
    }

    private void onStoreViewChanged() {
        Map<String, List<UpstreamEntry>> byService = new HashMap<>();
        storeView
                .upstreams()
                .forEach(entry -> byService
                        .computeIfAbsent(entry.service(), unused -> new ArrayList<>())
                        .add(entry));
        byService.keySet().forEach(this::dispatcher);
        storeView
                .configuration()
                .ifPresent(current -> current.services()
                        .forEach((service, configuration) -> dispatcher(service).configure(configuration, current)));
        dispatchers.forEach((service, dispatcher) -> dispatcher.update(byService.getOrDefault(service, List.of())));
    }

    private ServiceDispatcher dispatcher(String service) {
        return dispatchers.computeIfAbsent(
                service, name -> new ServiceDispatcher(this, name, new WindowedRetryBudget(budgetLimits())));
    }

    List<Upstream> allUpstreams() {
        return dispatchers.values().stream()
                .flatMap(dispatcher -> dispatcher.upstreams().stream())
                .toList();
    }

    private void sendLoadsToPeers() {
        peerChannel.send(
                () -> PeerLoads.ownLoads(allUpstreams().stream()),
                storeView.storeContact().report(clock.steadyMs()));
        long intervalMs = Math.round(PEER_LOADS_MS * Math.max(1.0, (double) peerLoads.count() / FULL_RATE_PEERS));
        eventLoop.schedule(this::sendLoadsToPeers, intervalMs, TimeUnit.MILLISECONDS);
    }

    /** Handles a complete request. The body is released when the request ends. */
    void onRequest(ClientConnection connection, HttpRequest head, ByteBuf body) {
        metrics.count("requests");
        String requestId = head.headers().get(names().requestId());
        RequestRouter.Result result = RequestRouter.route(
                head,
                names(),
                storeView,
                MAX_DENIAL_AGE_MS,
                ThreadLocalRandom.current().nextDouble());
        switch (result) {
            case RequestRouter.Refused refused -> {
                body.release();
                refuse(connection, requestId, refused);
            }
            case RequestRouter.Routed routed -> {
                Exchange exchange = new Exchange(
                        connection, head, body, Optional.ofNullable(requestId).orElse(""), clock.steadyMs(), routed);
                connection.setExchange(exchange);
                dispatcher(routed.decision().service()).submit(exchange);
            }
        }
    }

    private void refuse(ClientConnection connection, @Nullable String requestId, RequestRouter.Refused refused) {
        metrics.count("refused_" + refused.kind().label());
        log.event("request refused")
                .field("request", String.valueOf(requestId))
                .field("kind", refused.kind().label())
                .field("reason", refused.reason())
                .field("configurationAgeMs", storeView.ageMs())
                .write();
        connection.sendProblem(refused.kind(), refused.reason(), refused.retryAfterMs());
    }

    void onMalformed(ErrorKind kind) {
        metrics.count("refused_" + kind.label());
        log.event("malformed request").field("kind", kind.label()).write();
    }

    /** Ends a request with an error response generated by the gateway, or breaks off a response that has begun. */
    void endWithProblem(Exchange exchange, ErrorKind kind, String detail, long retryAfterMs) {
        if (exchange.headSent()) {
            abort(exchange, kind.label() + ": " + detail);
            return;
        }
        if (exchange.done()) {
            return;
        }
        exchange.connection().sendProblem(kind, detail, retryAfterMs);
        onFinished(exchange, kind.httpStatus(), kind.label() + ": " + detail, "");
    }

    /** Ends a response that has started and can't be continued, as complete if its end is believed. */
    void abort(Exchange exchange, String reason) {
        if (exchange.done()
                || dispatcher(exchange.service()).unstatedEnds().complete(exchange, reason, clock.steadyMs())) {
            return;
        }
        exchange.connection().abort();
        onFinished(exchange, 0, "aborted: " + reason, "");
    }

    /** Ends a request that can't be served any more because the gateway stops. */
    void endForShutdown(Exchange exchange) {
        if (exchange.headSent()) {
            abort(exchange, "the gateway stops");
        } else if (exchange.mayHaveRun()) {
            endWithProblem(exchange, ErrorKind.DEADLINE_EXCEEDED, "the gateway stops; the request may have run", -1);
        } else {
            endWithProblem(
                    exchange, ErrorKind.SHUTTING_DOWN, "the gateway stops too soon", RetryAfter.OTHER_GATEWAY_MS);
        }
    }

    /** Records the end of a request. */
    void onFinished(Exchange exchange, int status, String outcome, String upstreamId) {
        long durationMs = clock.steadyMs() - exchange.arrivedMs();
        metrics.count("answers_" + status);
        metrics.time("answer_ms_" + exchange.route().kind(), durationMs);
        AccessLog.write(
                log,
                exchange,
                new AccessLog.Summary(
                        status,
                        outcome,
                        upstreamId,
                        durationMs,
                        dispatcher(exchange.service()).queued(),
                        draining()),
                storeView);
        exchange.setDone();
    }

    void onClientDisconnected(Exchange exchange) {
        if (!exchange.done()) {
            dispatcher(exchange.service()).cancel(exchange);
            onFinished(exchange, 0, "client disconnected", "");
        }
    }

    void onConnectionClosed(ClientConnection connection) {
        connections.remove(connection, clock.steadyMs());
    }

    void onClientFailure(Throwable cause) {
        metrics.count("client_connection_failures");
        log.event("client connection failed")
                .field("reason", String.valueOf(cause))
                .write();
    }

    private void sweep() {
        long nowMs = clock.steadyMs();
        if (suspensions.suspended(nowMs, clock.wallMs())) {
            log.event("clock jumped or VM was suspended")
                    .field("differenceMs", suspensions.differenceMs())
                    .write();
            dispatchers.values().forEach(ServiceDispatcher::closeIdleConnections);
        }
        eventLoopMonitor.onTask(nowMs - lastSweepSteadyMs - SWEEP_INTERVAL_MS);
        lastSweepSteadyMs = nowMs;
        storeView.sweep(nowMs);
        List.copyOf(dispatchers.values()).forEach(dispatcher -> dispatcher.sweep(nowMs));
        upstreamLimits.report(nowMs);
        endReports.report(nowMs);
        engineGroups.logChanges("time", nowMs);
        memory.admitBodies(nowMs);
        connections.list().forEach(connection -> connection.sweep(nowMs));
        boolean ready = ready();
        if (ready != lastReady) {
            lastReady = ready;
            log.event("readiness changed")
                    .field("ready", ready)
                    .field("configurationAgeMs", storeView.ageMs())
                    .field("leaving", draining())
                    .write();
        }
        shutdown.sweep(listener, connections, this::endRequests, this::close, nowMs);
    }

    private void endRequests() {
        dispatchers.values().forEach(ServiceDispatcher::endAll);
        connections.list().forEach(ClientConnection::endUpload);
    }

    private void close() {
        storeWatchers.close();
        peerDirectory.close();
        quarantineStore.close();
        peerChannel.close();
    }
}
