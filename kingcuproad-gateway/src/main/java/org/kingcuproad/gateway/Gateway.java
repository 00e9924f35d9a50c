package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpRequest;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.gateway.ClientLimits;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.UpstreamEntry;
import org.kingcuproad.policy.gateway.WindowedRetryBudget;
import org.kingcuproad.runtime.log.DecisionLog;

/**
 * A gateway: takes requests of clients and sends each to an upstream of its route's service.
 *
 * <p>One event loop owns all sockets and state.
 */
public final class Gateway {

    /** Deadlines and limits are checked this often; clients allow for differences of half a second. */
    private static final long SWEEP_MS = 25;

    /** Other gateways learn of this one's requests after at most this time, if there are few. */
    private static final long TELL_PEERS_MS = 50;

    /**
     * Gateways above which they tell each other less often. Messages grow with the square of their number, while each
     * has a smaller part of the requests.
     */
    private static final int MANY_PEERS = 6;

    /** Agents forget a gateway that does not repeat its subscription within three of these. */
    private static final long SUBSCRIBE_MS = 1_000;

    /**
     * Longest wait for a change of the configuration. The proof that it is current is up to twice as old, and both
     * readiness and denials need one that is younger than some seconds.
     */
    private static final long CONFIGURATION_WAIT_MS = 1_000;

    /** Longest wait for a change of the upstreams; a silent connection is noticed half a second later. */
    private static final long UPSTREAMS_WAIT_MS = 1_500;

    /** Knowledge older than this may miss a route or key that exists, so its absence is no reason for a 4xx. */
    private static final long CERTAIN_AGE_MS = 2_500;

    /** A suspended VM stops the steady clock; a larger difference of both clocks means that it was suspended. */
    private static final long SUSPENDED_MS = 700;

    /**
     * Gateways among which the slack of the retry budget is divided. It is more than the users run, because a gateway
     * does not know for certain how many there are.
     */
    private static final int BUDGET_SHARERS = 20;

    /** The platform's balancer asks each second and takes a gateway out after two misses. */
    private static final long BALANCER_NOTICE_MS = 2_300;

    /** New requests are accepted for this long after the stop was asked for. */
    private static final long ACCEPT_WHILE_LEAVING_MS = 4_000;

    /** Time kept between the last answer and the end of the grace period. */
    private static final long STOP_RESERVE_MS = 600;

    private GatewaySettings settings;
    private final GatewayDialect dialect;
    private final EventLoop eventLoop;
    private final Clock clock;
    private final DecisionLog log;
    private final Knowledge knowledge;
    private final KindFollower<GatewayConfiguration> configurationFollower;
    private final KindFollower<UpstreamEntry> upstreamFollower;
    private final PeerLoads peerLoads = new PeerLoads();
    private final PeerLink peerLink;
    private final PeerDirectory peerDirectory;
    private final ProcessMetrics metrics = new ProcessMetrics();
    private final Map<String, ServicePlaces> services = new HashMap<>();
    private final Set<ClientConnection> connections = new HashSet<>();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private @Nullable Channel listener;
    private long lastSweepSteadyMs;
    private long lastSweepWallMs;
    private long leavingSinceMs = -1;
    private boolean lastReady;

    /**
     * Creates a gateway that does nothing yet.
     *
     * @param settings settings
     * @param dialect words of the surroundings
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
        this.knowledge = new Knowledge(log, clock, settings, this::onKnowledgeChanged);
        this.configurationFollower = new KindFollower<>(
                dialect.configuration(),
                eventLoop,
                clock,
                settings.storeAddress(),
                knowledge.configurationListener(),
                log,
                CONFIGURATION_WAIT_MS);
        this.upstreamFollower = new KindFollower<>(
                dialect.upstreams(),
                eventLoop,
                clock,
                settings.storeAddress(),
                knowledge.upstreamListener(),
                log,
                UPSTREAMS_WAIT_MS);
        this.peerLink = new PeerLink(log, settings.name(), peerLoads, this::onPace, clock);
        this.peerDirectory = new PeerDirectory(eventLoop, dialect.gateways(), settings, peerLoads, clock, log);
    }

    /**
     * Follows the settings while the gateway runs.
     *
     * @param source where settings come from
     * @return the follower, which has been started
     */
    public SettingsFollower<GatewaySettings> followSettings(SettingsFollower.Source<GatewaySettings> source) {
        SettingsFollower<GatewaySettings> follower =
                new SettingsFollower<>(eventLoop, source, settings, this::apply, log);
        follower.start();
        return follower;
    }

    private void apply(GatewaySettings next) {
        GatewaySettings applied = settings.withBoundsOf(next);
        log.event("settings changed")
                .field("revokeMs", applied.revokeMs())
                .field("drainGraceMs", applied.drainGraceMs())
                .field("retrySlack", Math.round(applied.retrySlack()))
                .field("needsRestart", !applied.equals(next))
                .write();
        settings = applied;
        knowledge.adjust(applied);
        services.values().forEach(places -> places.adjustBudget(budgetLimits()));
    }

    private WindowedRetryBudget.Limits budgetLimits() {
        return new WindowedRetryBudget.Limits(
                settings.retryRatio(), settings.retryWindowMs(), settings.retrySlack() / BUDGET_SHARERS);
    }

    /** Starts to listen and to follow the store. */
    public void start() {
        eventLoop.execute(() -> {
            lastSweepSteadyMs = clock.steadyMs();
            lastSweepWallMs = clock.wallMs();
            listener = endIfClosed(
                    ClientListener.listen(eventLoop, settings.clientAddress(), knowledge::limits, this::openClient));
            endIfClosed(StatusServer.listen(eventLoop, settings.readyAddress(), this::readiness));
            logIfClosed(StatusServer.listen(
                    eventLoop, settings.metricsAddress(), () -> new StatusServer.Status(true, metrics.render())));
            peerLink.open(eventLoop, settings.peerAddress());
            configurationFollower.start();
            upstreamFollower.start();
            peerDirectory.start();
            eventLoop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
            tellPeers();
            eventLoop.scheduleWithFixedDelay(this::subscribeToPaces, SUBSCRIBE_MS, SUBSCRIBE_MS, TimeUnit.MILLISECONDS);
            log.event("gateway started")
                    .field("name", settings.name())
                    .field("dataCentre", settings.dataCentre())
                    .write();
        });
    }

    /**
     * Tells when the process may end.
     *
     * @return completes after {@link #leave}, or with the reason if the gateway can't listen
     */
    public CompletableFuture<Void> stopped() {
        return stopped;
    }

    /** Leaves: asks for no new clients, finishes what runs and stops within the grace period. */
    public void leave() {
        eventLoop.execute(() -> {
            if (leavingSinceMs < 0) {
                leavingSinceMs = clock.steadyMs();
                log.event("gateway leaving")
                        .field("connections", connections.size())
                        .write();
            }
        });
    }

    /** Ends the process if an address can't be listened at, since it would seem to run and serve nobody. */
    private Channel endIfClosed(ChannelFuture bound) {
        bound.addListener((ChannelFutureListener) future -> {
            if (!future.isSuccess()) {
                stopped.completeExceptionally(future.cause());
            }
        });
        return logIfClosed(bound);
    }

    private Channel logIfClosed(ChannelFuture bound) {
        bound.addListener((ChannelFutureListener) future -> {
            if (!future.isSuccess()) {
                log.event("address can't be listened at")
                        .field("reason", String.valueOf(future.cause()))
                        .write();
            }
        });
        return bound.channel();
    }

    private ClientConnection openClient(Channel opened, ClientLimits limits) {
        ClientConnection connection = new ClientConnection(this, opened, limits);
        connections.add(connection);
        return connection;
    }

    /** Opens a connection to an upstream for an attempt. */
    void connect(Upstream upstream, Attempt attempt, BiConsumer<Attempt, UpstreamLink> onOpen) {
        metrics.count("upstream_connections_opened");
        UpstreamConnector.connect(eventLoop, clock, names().requestId(), upstream, attempt, onOpen);
    }

    /** Runs a step after the current one. */
    void later(Runnable step) {
        eventLoop.execute(step);
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

    PeerLoads peerLoads() {
        return peerLoads;
    }

    boolean leaving() {
        return leavingSinceMs >= 0;
    }

    private boolean ready() {
        return knowledge.ready() && !leaving();
    }

    private StatusServer.Status readiness() {
        boolean ready = ready();
        return new StatusServer.Status(ready, ready ? "ready\n" : "not ready\n");
    }

    private void onPace(String host, double pace) {
        services.values().stream()
                .flatMap(places -> places.upstreams().stream())
                .filter(upstream -> upstream.entry().host().equals(host))
                .forEach(upstream -> {
                    if (upstream.pace() != pace) {
                        log.event("upstream pace")
                                .field("upstream", upstream.entry().id())
                                .field("pacePercent", Math.round(pace * 100))
                                .write();
                    }
                    upstream.setPace(pace, clock.steadyMs());
                });
    }

    private void subscribeToPaces() {
        peerLink.subscribe(services.values().stream()
                .filter(ServicePlaces::engine)
                .flatMap(places -> places.upstreams().stream())
                .map(upstream -> new InetSocketAddress(
                        upstream.entry().host(), settings.peerAddress().getPort())));
    }

    private void onKnowledgeChanged() {
        Map<String, List<UpstreamEntry>> byService = new HashMap<>();
        knowledge
                .upstreams()
                .forEach(entry -> byService
                        .computeIfAbsent(entry.service(), unused -> new ArrayList<>())
                        .add(entry));
        byService.keySet().forEach(this::places);
        knowledge
                .configuration()
                .ifPresent(current -> current.services()
                        .forEach((service, profile) -> places(service).describe(profile)));
        services.forEach((service, places) -> places.update(byService.getOrDefault(service, List.of())));
    }

    private ServicePlaces places(String service) {
        return services.computeIfAbsent(
                service, unused -> new ServicePlaces(this, new WindowedRetryBudget(budgetLimits())));
    }

    private void tellPeers() {
        peerLink.send(() -> PeerLoads.of(services.values().stream().flatMap(places -> places.upstreams().stream())));
        long intervalMs = Math.round(TELL_PEERS_MS * Math.max(1.0, (double) peerLoads.count() / MANY_PEERS));
        eventLoop.schedule(this::tellPeers, intervalMs, TimeUnit.MILLISECONDS);
    }

    /** Takes a whole request. The body is released by the request's end. */
    void onRequest(ClientConnection connection, HttpRequest head, ByteBuf body) {
        metrics.count("requests");
        String requestId = head.headers().get(names().requestId());
        RequestCheck.Result result = RequestCheck.check(
                head,
                names(),
                knowledge,
                CERTAIN_AGE_MS,
                ThreadLocalRandom.current().nextDouble());
        switch (result) {
            case RequestCheck.Refused refused -> {
                body.release();
                refuseUnrouted(connection, requestId, refused);
            }
            case RequestCheck.Assigned assigned -> {
                Exchange exchange = new Exchange(
                        connection,
                        head,
                        body,
                        Optional.ofNullable(requestId).orElse(""),
                        clock.steadyMs(),
                        assigned.assignment(),
                        assigned.promptTokens(),
                        assigned.outputTokens(),
                        assigned.waitMs());
                connection.setExchange(exchange);
                places(assigned.assignment().service()).submit(exchange);
            }
        }
    }

    private void refuseUnrouted(ClientConnection connection, @Nullable String requestId, RequestCheck.Refused refused) {
        metrics.count("refused_" + refused.kind().label());
        log.event("request refused")
                .field("request", String.valueOf(requestId))
                .field("kind", refused.kind().label())
                .field("reason", refused.reason())
                .field("configurationAgeMs", knowledge.ageMs())
                .write();
        connection.sendProblem(refused.kind(), refused.reason(), refused.retryAfterMs());
    }

    void onMalformed(ErrorKind kind) {
        metrics.count("refused_" + kind.label());
        log.event("malformed request").field("kind", kind.label()).write();
    }

    /** Gives a request its final answer, which is an error of the gateway's own. */
    void problem(Exchange exchange, ErrorKind kind, String detail, long retryAfterMs) {
        if (exchange.done()) {
            return;
        }
        exchange.connection().sendProblem(kind, detail, retryAfterMs);
        finished(exchange, kind.httpStatus(), kind.label() + ": " + detail, "");
    }

    /** Breaks off an answer that has begun and can't be completed. */
    void abort(Exchange exchange, String reason) {
        if (exchange.done()) {
            return;
        }
        exchange.connection().abort();
        finished(exchange, 0, "aborted: " + reason, "");
    }

    /** Notes the end of a request. */
    void finished(Exchange exchange, int status, String outcome, String upstreamId) {
        long durationMs = clock.steadyMs() - exchange.arrivedMs();
        metrics.count("answers_" + status);
        metrics.time("answer_ms_" + exchange.route().kind(), durationMs);
        RequestRecord.write(
                log,
                exchange,
                new RequestRecord.End(
                        status,
                        outcome,
                        upstreamId,
                        durationMs,
                        places(exchange.service()).waiting()),
                knowledge);
        exchange.setDone();
    }

    void onClientLeft(Exchange exchange) {
        if (!exchange.done()) {
            places(exchange.service()).cancel(exchange);
            finished(exchange, 0, "client left", "");
        }
    }

    void onConnectionClosed(ClientConnection connection) {
        connections.remove(connection);
    }

    void onClientFailure(Throwable cause) {
        metrics.count("client_connection_failures");
        log.event("client connection failed")
                .field("reason", String.valueOf(cause))
                .write();
    }

    private void sweep() {
        long nowMs = clock.steadyMs();
        long wallMs = clock.wallMs();
        if (wallMs - lastSweepWallMs - (nowMs - lastSweepSteadyMs) > SUSPENDED_MS) {
            log.event("clock jumped or VM was suspended")
                    .field("differenceMs", wallMs - lastSweepWallMs - (nowMs - lastSweepSteadyMs))
                    .write();
            services.values().forEach(ServicePlaces::closeIdle);
        }
        lastSweepSteadyMs = nowMs;
        lastSweepWallMs = wallMs;
        knowledge.sweep(nowMs);
        List.copyOf(services.values()).forEach(places -> places.sweep(nowMs));
        List.copyOf(connections).forEach(connection -> connection.sweep(nowMs));
        boolean ready = ready();
        if (ready != lastReady) {
            lastReady = ready;
            log.event("readiness changed")
                    .field("ready", ready)
                    .field("configurationAgeMs", knowledge.ageMs())
                    .field("leaving", leaving())
                    .write();
        }
        if (leaving()) {
            sweepLeaving(nowMs);
        }
    }

    /** A client that is accepted after the last connection was seen would be cut off by the end of the process. */
    private void closeListener() {
        Channel open = listener;
        listener = null;
        if (open != null) {
            open.close();
        }
    }

    private void sweepLeaving(long nowMs) {
        long leavingForMs = nowMs - leavingSinceMs;
        if (leavingForMs > BALANCER_NOTICE_MS) {
            List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
        }
        boolean finished = listener == null && connections.isEmpty();
        boolean unasked = leavingForMs > BALANCER_NOTICE_MS && connections.isEmpty();
        boolean graceEnds = leavingForMs > settings.drainGraceMs() - STOP_RESERVE_MS;
        if (unasked || leavingForMs > ACCEPT_WHILE_LEAVING_MS || graceEnds) {
            closeListener();
        }
        if ((finished || graceEnds) && !stopped.isDone()) {
            List.copyOf(connections).forEach(ClientConnection::closeIfIdle);
            log.event("gateway stopped")
                    .field("connections", connections.size())
                    .field("afterMs", leavingForMs)
                    .write();
            configurationFollower.close();
            upstreamFollower.close();
            peerDirectory.close();
            peerLink.close();
            stopped.complete(null);
        }
    }
}
