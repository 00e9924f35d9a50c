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

/**
 * The agent of an upstream. The gRPC server, the HTTP client and the admin endpoints share one event loop, to which all
 * mutable state is confined.
 */
public final class Agent {

    // Maximum delay with which a timeout is detected. The shortest one, 1,500 ms without a message, must be detected
    // within 2 s.
    private static final long TICK_INTERVAL_MS = 100;

    // Keepalive pings detect a dead subscriber of reports, which sends no messages of its own.
    private static final long KEEPALIVE_INTERVAL_MS = 5_000;
    private static final long KEEPALIVE_TIMEOUT_MS = 2_000;
    private static final long MIN_CLIENT_KEEPALIVE_INTERVAL_MS = 100;

    private final AgentOptions options;
    private final LongSupplier clockMs;
    private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = eventLoops.next();
    private final CompletableFuture<Void> idle = new CompletableFuture<>();
    private final ReportPublisher reportPublisher;
    private final UpstreamClient client;
    private final @Nullable ObjectStore store;
    private final RequestDispatcher dispatcher;
    private final @Nullable LoadPoller loadPoller;
    private final @Nullable PeerClient peerClient;
    private final @Nullable RankSwitchExecutor rankExecutor;
    private final Server grpcServer;
    private final HttpServer adminServer;
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
        this.dispatcher =
                new RequestDispatcher(options, clockMs, client, this::createClaimService, () -> idle.complete(null));
        this.loadPoller =
                options.reportsLoad() ? new LoadPoller(client, timing.reportIntervalMs(), clockMs.getAsLong()) : null;
        this.reportPublisher = new ReportPublisher(this::buildReport, timing.reportIntervalMs());
        this.peerClient = options.group().enabled()
                ? new PeerClient(eventLoops, options.group().agents())
                : null;
        this.rankExecutor = peerClient == null
                ? null
                : new RankSwitchExecutor(
                        options.group(), options.incarnation(), client, peerClient, eventLoop, clockMs);
        this.grpcServer = startGrpcServer();
        this.adminServer = HttpServer.start(
                eventLoops,
                HttpServerSettings.of(options.host(), options.adminPort()),
                OperationsHandler.standalone(dispatcher.metrics().registry(), this::unreadyReason));
        if (rankExecutor != null) {
            eventLoop.execute(rankExecutor::start);
        }
        eventLoop.scheduleAtFixedRate(this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        StructuredLog.info("agent started", logFields());
    }

    /**
     * Starts an agent.
     *
     * @param options configuration of the agent
     * @return the running agent
     * @throws KingcuproadException if an address cannot be bound
     */
    public static Agent start(AgentOptions options) throws KingcuproadException {
        return start(options, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    }

    /**
     * Starts an agent with the given clock.
     *
     * @param options configuration of the agent
     * @param clockMs monotonic time in milliseconds
     * @return the running agent
     * @throws KingcuproadException if an address cannot be bound
     */
    static Agent start(AgentOptions options, LongSupplier clockMs) throws KingcuproadException {
        return new Agent(options, clockMs);
    }

    /**
     * Sets the revision of the document in force, which is included in the reports.
     *
     * @param revision revision of the document
     */
    public void setDocumentRevision(long revision) {
        documentRevision = revision;
    }

    /**
     * Returns the port of the gRPC service.
     *
     * @return the TCP port
     */
    public int port() {
        return grpcServer.getPort();
    }

    /**
     * Returns the port of the admin endpoints.
     *
     * @return the TCP port
     */
    public int adminPort() {
        return adminServer.port();
    }

    /**
     * Drains the agent: notifies all subscribers at once, refuses new requests, waits until running requests have
     * finished and their responses have been read, at most for the drain limit, and then closes the agent.
     *
     * @return a future that completes when the agent is closed
     */
    public CompletableFuture<Void> drain() {
        StructuredLog.info("agent draining", logFields());
        eventLoop.execute(() -> {
            dispatcher.startDraining();
            reportPublisher.publishNow(clockMs.getAsLong());
        });
        return idle.completeOnTimeout(null, options.timing().drainLimitMs(), TimeUnit.MILLISECONDS)
                .thenRun(this::close);
    }

    /** Closes the agent immediately, without draining. */
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        eventLoop.execute(reportPublisher::close);
        grpcServer.shutdown();
        if (peerClient != null) {
            peerClient.close();
        }
        adminServer.close();
        if (store != null) {
            store.close();
        }
        try {
            client.close();
        } catch (IOException failure) {
            StructuredLog.warn(failure, "failed to close the HTTP client", logFields());
        }
        eventLoops.shutdownGracefully(100, 2_000, TimeUnit.MILLISECONDS);
        StructuredLog.info("agent closed", logFields());
    }

    /**
     * Changes the address of an agent of the model group, for example after its VM was replaced.
     *
     * @param rank number of the agent in the group
     * @param address address of its gRPC service
     */
    public void updatePeerAddress(int rank, HostPort address) {
        if (peerClient != null) {
            eventLoop.execute(() -> peerClient.updateAddress(rank, address));
        }
    }

    /** Returns whether no map switch is pending and the engine may run; for tests. */
    boolean rankSwitchIdle() {
        return callOnEventLoop(() -> rankExecutor != null && rankExecutor.idle());
    }

    /** Returns the hash of the incarnations of the group; for tests. */
    long rankViewHash() {
        return callOnEventLoop(() -> rankExecutor == null ? 0L : rankExecutor.viewHash());
    }

    /** Returns the number of open {@code Execute} calls; for tests. */
    int openStreams() {
        return callOnEventLoop(dispatcher::openStreams);
    }

    /** Returns the number of requests sent to the upstream whose runs have not ended; for tests. */
    int runningRequests() {
        return callOnEventLoop(dispatcher::running);
    }

    /** Returns the number of requests queued until the concurrency limit permits them; for tests. */
    int queuedRequests() {
        return callOnEventLoop(dispatcher::queued);
    }

    /** Returns the number of bytes in response buffers; for tests. */
    long bufferedBytes() {
        return callOnEventLoop(dispatcher::bufferedBytes);
    }

    private <T> T callOnEventLoop(Callable<T> task) {
        return eventLoop.submit(task).syncUninterruptibly().getNow();
    }

    private ClaimService createClaimService(RequestDispatcher owner) {
        return store == null
                ? new DisabledClaimService(owner)
                : new StoreClaimService(owner, options, store, eventLoop, System::currentTimeMillis);
    }

    private void tick() {
        long nowMs = clockMs.getAsLong();
        dispatcher.tick();
        if (dispatcher.renewIncarnation()) {
            reportPublisher.publishNow(nowMs);
        }
        reportPublisher.tick(nowMs);
        if (rankExecutor != null) {
            rankExecutor.tick();
        }
        if (loadPoller != null) {
            loadPoller.tick(nowMs);
        }
    }

    private Server startGrpcServer() throws KingcuproadException {
        try {
            return NettyServerBuilder.forAddress(new InetSocketAddress(options.host(), options.port()))
                    .bossEventLoopGroup(eventLoops)
                    .workerEventLoopGroup(eventLoops)
                    .channelType(NioServerSocketChannel.class)
                    .directExecutor()
                    .keepAliveTime(KEEPALIVE_INTERVAL_MS, TimeUnit.MILLISECONDS)
                    .keepAliveTimeout(KEEPALIVE_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .permitKeepAliveTime(MIN_CLIENT_KEEPALIVE_INTERVAL_MS, TimeUnit.MILLISECONDS)
                    .permitKeepAliveWithoutCalls(true)
                    .addService(new AgentGrpcService(dispatcher, reportPublisher, rankExecutor))
                    .build()
                    .start();
        } catch (IOException failure) {
            eventLoops.shutdownGracefully();
            String address = options.host() + ":" + options.port();
            throw new KingcuproadException(ErrorKind.INTERNAL, "cannot listen on " + address, failure);
        }
    }

    private AgentReport.Builder buildReport() {
        AgentReport.Builder report = AgentReport.newBuilder()
                .setUpstream(options.upstream())
                .setIncarnation(dispatcher.incarnation())
                .setInFlight(dispatcher.running())
                .setQueued(dispatcher.queued())
                .setLeaving(dispatcher.draining())
                .setDocumentRevision(documentRevision);
        return loadPoller == null ? report : loadPoller.addTo(report, clockMs.getAsLong());
    }

    private Optional<String> unreadyReason() {
        return dispatcher.draining() ? Optional.of("leaving") : Optional.empty();
    }

    private Map<String, Object> logFields() {
        return Map.of("upstream", options.upstream(), "incarnation", options.incarnation());
    }
}
