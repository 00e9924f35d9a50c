package org.kingcuproad.agent;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.platform.HttpObjectStore;
import org.kingcuproad.platform.ObjectStore;
import org.kingcuproad.platform.ObjectStoreSettings;
import org.kingcuproad.runtime.http.HttpServer;
import org.kingcuproad.runtime.http.HttpServerSettings;
import org.kingcuproad.runtime.http.OperationsHandler;
import org.kingcuproad.runtime.log.StructuredLog;
import org.kingcuproad.wire.proto.AgentReport;

/** The process beside an upstream. gRPC, HTTP client and admin endpoints share one event loop, which owns all state. */
public final class Agent {

    // Bounds the error of every limit of time; the tightest one, 1,500 ms of silence, is to be noticed within 2 s.
    private static final long TICK_MS = 100;

    // A dead subscriber of reports is found by these pings, because it sends nothing itself.
    private static final long KEEPALIVE_MS = 5_000;
    private static final long KEEPALIVE_TIMEOUT_MS = 2_000;
    private static final long MIN_CLIENT_KEEPALIVE_MS = 100;

    private final AgentOptions options;
    private final LongSupplier clockMs;
    private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final EventLoop loop = eventLoops.next();
    private final CompletableFuture<Void> idle = new CompletableFuture<>();
    private final Reports reports;
    private final UpstreamClient client;
    private final @Nullable ObjectStore store;
    private final AgentCore core;
    private final @Nullable LoadPoll load;
    private final @Nullable RankPeers peers;
    private final @Nullable MapRank maps;
    private final Server server;
    private final HttpServer admin;
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile long documentRevision;

    private Agent(AgentOptions options, LongSupplier clockMs) throws KingcuproadException {
        this.options = options;
        this.clockMs = clockMs;
        AgentTiming timing = options.timing();
        this.client = new UpstreamClient(eventLoops, options.upstreamUrl(), timing);
        this.store = options.claims().enabled()
                ? HttpObjectStore.open(ObjectStoreSettings.of(options.claims().platformUrl()), eventLoops)
                : null;
        this.core = new AgentCore(options, clockMs, client, this::claimGate, () -> idle.complete(null));
        this.load = options.reportsLoad() ? new LoadPoll(client, timing.reportIntervalMs(), clockMs.getAsLong()) : null;
        this.reports = new Reports(this::report, timing.reportIntervalMs());
        this.peers = options.group().enabled()
                ? new RankPeers(eventLoops, options.group().agents())
                : null;
        this.maps = peers == null
                ? null
                : new MapRank(options.group(), options.incarnation(), client, peers, loop, clockMs);
        this.server = listen();
        this.admin = HttpServer.start(
                eventLoops,
                HttpServerSettings.of(options.host(), options.adminPort()),
                OperationsHandler.standalone(core.metrics().registry(), this::unreadyReason));
        if (maps != null) {
            loop.execute(maps::start);
        }
        loop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        StructuredLog.info("agent started", fields());
    }

    /**
     * Starts an agent.
     *
     * @param options what the agent is told
     * @return the running agent
     * @throws KingcuproadException if an address can't be bound
     */
    public static Agent start(AgentOptions options) throws KingcuproadException {
        return start(options, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    }

    /**
     * Starts an agent with a clock.
     *
     * @param options what the agent is told
     * @param clockMs monotonic time in milliseconds
     * @return the running agent
     * @throws KingcuproadException if an address can't be bound
     */
    static Agent start(AgentOptions options, LongSupplier clockMs) throws KingcuproadException {
        return new Agent(options, clockMs);
    }

    /**
     * Takes note of the document in force, whose revision the reports carry.
     *
     * @param revision revision of the document
     */
    public void documentInForce(long revision) {
        documentRevision = revision;
    }

    /**
     * Returns the port of the gRPC service.
     *
     * @return the TCP port
     */
    public int port() {
        return server.getPort();
    }

    /**
     * Returns the port of the admin endpoints.
     *
     * @return the TCP port
     */
    public int adminPort() {
        return admin.port();
    }

    /**
     * Leaves: tells all subscribers at once, refuses new work, lets running requests finish and their responses be read
     * within the drain limit and then closes the agent.
     *
     * @return completes when the agent is closed
     */
    public CompletableFuture<Void> drain() {
        StructuredLog.info("agent leaving", fields());
        loop.execute(() -> {
            core.leave();
            reports.publishNow(clockMs.getAsLong());
        });
        return idle.completeOnTimeout(null, options.timing().drainLimitMs(), TimeUnit.MILLISECONDS)
                .thenRun(this::close);
    }

    /** Closes the agent at once. */
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        loop.execute(reports::close);
        server.shutdown();
        if (peers != null) {
            peers.close();
        }
        admin.close();
        if (store != null) {
            store.close();
        }
        try {
            client.close();
        } catch (IOException failure) {
            StructuredLog.warn(failure, "cannot close the HTTP client", fields());
        }
        eventLoops.shutdownGracefully(100, 2_000, TimeUnit.MILLISECONDS);
        StructuredLog.info("agent closed", fields());
    }

    /**
     * Uses another address for an agent of the model group, because its VM was replaced.
     *
     * @param rank number of the agent in the group
     * @param address address of its gRPC service
     */
    public void movePeer(int rank, HostPort address) {
        if (peers != null) {
            loop.execute(() -> peers.move(rank, address));
        }
    }

    /** Tells whether no map switch is pending and the engine runs, for tests. */
    boolean mapsIdle() {
        return onLoop(() -> maps != null && maps.idle());
    }

    /** Returns the hash of the incarnations of the group, for tests. */
    long mapView() {
        return onLoop(() -> maps == null ? 0L : maps.viewHash());
    }

    /** Counts the open calls of {@code Execute}, for tests. */
    int openStreams() {
        return onLoop(core::openStreams);
    }

    /** Counts the requests whose responses the upstream has not sent wholly, for tests. */
    int runningRequests() {
        return onLoop(core::running);
    }

    /** Counts the requests that wait for a place at the upstream, for tests. */
    int queuedRequests() {
        return onLoop(core::queued);
    }

    /** Counts the bytes in response buffers, for tests. */
    long bufferedBytes() {
        return onLoop(core::bufferedBytes);
    }

    private <T> T onLoop(Callable<T> question) {
        return loop.submit(question).syncUninterruptibly().getNow();
    }

    private ClaimGate claimGate(AgentCore owner) {
        return store == null
                ? new UnavailableStore(owner)
                : new StoreClaims(owner, options, store, loop, System::currentTimeMillis);
    }

    private void tick() {
        long nowMs = clockMs.getAsLong();
        core.tick();
        if (core.renewIncarnation()) {
            reports.publishNow(nowMs);
        }
        reports.tick(nowMs);
        if (maps != null) {
            maps.tick();
        }
        if (load != null) {
            load.tick(nowMs);
        }
    }

    private Server listen() throws KingcuproadException {
        try {
            return NettyServerBuilder.forAddress(new InetSocketAddress(options.host(), options.port()))
                    .bossEventLoopGroup(eventLoops)
                    .workerEventLoopGroup(eventLoops)
                    .channelType(NioServerSocketChannel.class)
                    .directExecutor()
                    .keepAliveTime(KEEPALIVE_MS, TimeUnit.MILLISECONDS)
                    .keepAliveTimeout(KEEPALIVE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .permitKeepAliveTime(MIN_CLIENT_KEEPALIVE_MS, TimeUnit.MILLISECONDS)
                    .permitKeepAliveWithoutCalls(true)
                    .addService(new AgentCalls(core, reports, maps))
                    .build()
                    .start();
        } catch (IOException failure) {
            eventLoops.shutdownGracefully();
            String address = options.host() + ":" + options.port();
            throw new KingcuproadException(ErrorKind.INTERNAL, "cannot listen on " + address, failure);
        }
    }

    private AgentReport.Builder report() {
        AgentReport.Builder report = AgentReport.newBuilder()
                .setUpstream(options.upstream())
                .setIncarnation(core.incarnation())
                .setInFlight(core.running())
                .setQueued(core.queued())
                .setLeaving(core.leaving())
                .setDocumentRevision(documentRevision);
        return load == null ? report : load.addTo(report, clockMs.getAsLong());
    }

    private Optional<String> unreadyReason() {
        return core.leaving() ? Optional.of("leaving") : Optional.empty();
    }

    private Map<String, Object> fields() {
        return Map.of("upstream", options.upstream(), "incarnation", options.incarnation());
    }
}
