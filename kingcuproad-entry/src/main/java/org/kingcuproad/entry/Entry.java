package org.kingcuproad.entry;

import com.codahale.metrics.MetricRegistry;
import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import org.kingcuproad.config.settings.EntrySettings;
import org.kingcuproad.entry.admin.AdminHandler;
import org.kingcuproad.entry.admin.EntryView;
import org.kingcuproad.entry.document.DocumentInForce;
import org.kingcuproad.entry.document.UpstreamDirectory;
import org.kingcuproad.entry.link.AgentLinks;
import org.kingcuproad.entry.link.ReportFanOut;
import org.kingcuproad.entry.link.UpstreamStatus;
import org.kingcuproad.entry.link.UpstreamStatuses;
import org.kingcuproad.entry.request.ActiveRequests;
import org.kingcuproad.entry.request.CallerHandler;
import org.kingcuproad.entry.request.RoutingSelector;
import org.kingcuproad.entry.request.Selection;
import org.kingcuproad.entry.request.Target;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.model.Limits;
import org.kingcuproad.model.Upstream;
import org.kingcuproad.model.VersionedDocument;
import org.kingcuproad.platform.HttpObjectStore;
import org.kingcuproad.platform.ObjectStore;
import org.kingcuproad.platform.ObjectStoreSettings;
import org.kingcuproad.platform.Vm;
import org.kingcuproad.platform.VmRole;
import org.kingcuproad.platform.environment.AdminRoutes;
import org.kingcuproad.platform.environment.EnvironmentAdmin;
import org.kingcuproad.policy.routing.RouterSettings;
import org.kingcuproad.policy.routing.UpstreamRouter;
import org.kingcuproad.relay.DocumentFollower;
import org.kingcuproad.relay.FollowerListener;
import org.kingcuproad.relay.FollowerOptions;
import org.kingcuproad.relay.RelayServer;
import org.kingcuproad.runtime.http.HttpServer;
import org.kingcuproad.runtime.http.HttpServerSettings;
import org.kingcuproad.runtime.http.OperationsHandler;
import org.kingcuproad.runtime.log.StructuredLog;
import org.kingcuproad.runtime.trace.Tracing;

/** An entry process, whose state is confined to one event loop. */
public final class Entry implements EntryView {

    private static final double TRACE_SAMPLE_RATIO = 1.0;
    private static final int MAX_ADMIN_HEADER_BYTES = 16 << 10;
    private static final int DEFAULT_DRAIN_LIMIT_SECONDS = 60;

    private final EntrySettings settings;
    private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = eventLoops.next();
    private final MetricRegistry metrics = new MetricRegistry();
    private final UpstreamStatuses statuses = new UpstreamStatuses(System::nanoTime);
    private final RoutingSelector selector;
    private final AgentLinks links;
    private final ActiveRequests requests;
    private final UpstreamDirectory directory;
    private final HttpServer callerServer;
    private final HttpServer adminServer;
    private Optional<DocumentInForce> document = Optional.empty();
    private Map<String, HostPort> vmAddresses = Map.of();
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile boolean draining;
    private volatile long revision;
    private volatile int drainNoticeSeconds;
    private volatile int drainLimitSeconds = DEFAULT_DRAIN_LIMIT_SECONDS;
    private final ObjectStore store;
    private final RelayServer relayServer;
    private final Server relayGrpcServer;
    private final DocumentFollower follower;

    private Entry(EntrySettings settings) throws KingcuproadException {
        this.settings = settings;
        this.directory = new UpstreamDirectory(settings.name(), settings.subsetSize());
        UpstreamRouter router = UpstreamRouter.create(
                RouterSettings.defaults(),
                settings.dataCentre(),
                settings.name().hashCode());
        this.selector = new RoutingSelector(router, System::nanoTime);
        this.store = HttpObjectStore.open(ObjectStoreSettings.of(settings.platformUrl()), eventLoops);
        this.relayServer =
                new RelayServer(settings.environment(), settings.stage().label(), eventLoop);
        this.relayGrpcServer = startRelay();
        this.follower = createFollower();
        this.links = new AgentLinks(settings.name(), eventLoop, new ReportFanOut(selector, statuses), System::nanoTime);
        Tracing tracing = Tracing.toLog(settings.name(), TRACE_SAMPLE_RATIO);
        this.requests = new ActiveRequests(eventLoop, links, selector, tracing, metrics, System::nanoTime);
        CallerHandler callerHandler = new CallerHandler(() -> document, requests, tracing, System::nanoTime);
        AdminRoutes adminRoutes = new AdminRoutes(new EnvironmentAdmin(store));
        AdminHandler adminHandler = new AdminHandler(this, adminRoutes, System::nanoTime);
        this.callerServer = HttpServer.start(
                eventLoops, HttpServerSettings.of(settings.listenHost(), settings.callerPort()), callerHandler);
        this.adminServer = HttpServer.start(
                eventLoops,
                HttpServerSettings.of(settings.listenHost(), settings.adminPort())
                        .withLimits(AdminRoutes.MAX_BODY_BYTES, MAX_ADMIN_HEADER_BYTES),
                new OperationsHandler(metrics, this::unreadyReason, adminHandler));
    }

    /**
     * Starts an entry.
     *
     * @param settings settings of the process
     * @return the running entry
     * @throws KingcuproadException if a port can't be bound
     */
    public static Entry start(EntrySettings settings) throws KingcuproadException {
        Entry entry = new Entry(settings);
        entry.follower.start();
        StructuredLog.info(
                "entry started",
                Map.of("entry", settings.name(), "callerPort", entry.callerPort(), "adminPort", entry.adminPort()));
        return entry;
    }

    private DocumentFollower createFollower() {
        FollowerOptions options = new FollowerOptions(
                settings.name(),
                settings.dataCentre(),
                settings.environment(),
                settings.stage(),
                true,
                settings.peers());
        FollowerListener listener = new FollowerListener() {
            @Override
            public void onDocument(VersionedDocument versioned) {
                applyDocument(versioned);
            }

            @Override
            public void onVms(List<Vm> vms) {
                relayServer.publish(vms);
                applyVms(vms);
            }
        };
        return new DocumentFollower(
                options, store, eventLoop, listener, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    }

    private Server startRelay() throws KingcuproadException {
        InetSocketAddress address = new InetSocketAddress(settings.listenHost(), settings.relayPort());
        try {
            return NettyServerBuilder.forAddress(address)
                    .bossEventLoopGroup(eventLoops)
                    .workerEventLoopGroup(eventLoops)
                    .channelType(NioServerSocketChannel.class)
                    .executor(eventLoop)
                    .addService(relayServer)
                    .build()
                    .start();
        } catch (IOException failure) {
            throw new KingcuproadException(ErrorKind.INTERNAL, "cannot listen on " + address, failure);
        }
    }

    private void applyVms(List<Vm> vms) {
        applyAddresses(vms.stream()
                .filter(vm -> vm.role() == VmRole.UPSTREAM)
                .collect(Collectors.toMap(Vm::name, Vm::address, (first, second) -> second)));
    }

    /**
     * Returns the maximum duration of a graceful shutdown including its notice, as configured by the document in force.
     *
     * @return the limit, in seconds
     */
    public int drainLimitSeconds() {
        return drainLimitSeconds;
    }

    /**
     * Returns the port for callers.
     *
     * @return the TCP port
     */
    public int callerPort() {
        return callerServer.port();
    }

    /**
     * Returns the port on which subscribers receive environment documents.
     *
     * @return the TCP port
     */
    public int relayPort() {
        return relayGrpcServer.getPort();
    }

    /**
     * Returns the port for health, metrics and administration.
     *
     * @return the TCP port
     */
    public int adminPort() {
        return adminServer.port();
    }

    /**
     * Puts a document in force if its revision is greater than that of the document in force. May be called from any
     * thread.
     *
     * @param versioned the document and its revision
     */
    public void applyDocument(VersionedDocument versioned) {
        eventLoop.execute(() -> {
            if (!versioned.supersedes(revision)) {
                return;
            }
            document = Optional.of(DocumentInForce.of(versioned));
            revision = versioned.revision();
            Limits limits = versioned.document().limits();
            drainNoticeSeconds = limits.drainNoticeSeconds();
            drainLimitSeconds = limits.drainNoticeSeconds() + limits.drainLimitSeconds();
            StructuredLog.info("document in force", Map.of("entry", settings.name(), "revision", revision));
            requests.update(versioned.document());
            relayServer.publish(versioned);
            updateUpstreams();
        });
    }

    /**
     * Updates the addresses of the agents. May be called from any thread.
     *
     * @param addresses addresses by VM
     */
    public void applyAddresses(Map<String, HostPort> addresses) {
        eventLoop.execute(() -> {
            if (!addresses.equals(vmAddresses)) {
                vmAddresses = Map.copyOf(addresses);
                updateUpstreams();
            }
        });
    }

    /**
     * Starts a graceful shutdown. The readiness check fails immediately, but requests are served as before while the
     * platform's load balancer removes the entry; after the drain notice, connections are no longer kept alive.
     *
     * @return a future that completes when no request is in progress
     */
    public CompletableFuture<Void> drain() {
        draining = true;
        CompletableFuture<Void> drained = new CompletableFuture<>();
        eventLoop.schedule(
                () -> callerServer.drain().thenRun(() -> drained.complete(null)), drainNoticeSeconds, TimeUnit.SECONDS);
        return drained;
    }

    /** Stops the entry immediately. Call {@link #drain()} first for a graceful shutdown. */
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        callerServer.close();
        adminServer.close();
        relayGrpcServer.shutdownNow();
        eventLoop.execute(() -> {
            follower.close();
            links.close();
        });
        store.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void updateUpstreams() {
        document.ifPresent(current -> {
            List<Upstream> connected =
                    directory.selectConnected(current.versioned().document(), vmAddresses);
            statuses.retain(connected.stream().map(Upstream::name).toList());
            links.update(UpstreamDirectory.agentAddresses(connected, vmAddresses));
            selector.update(current.versioned().document(), connected, System.nanoTime());
        });
    }

    @Override
    public EntrySettings settings() {
        return settings;
    }

    @Override
    public Optional<DocumentInForce> document() {
        return document;
    }

    @Override
    public Collection<UpstreamStatus> upstreams() {
        return statuses.all();
    }

    @Override
    public int requestsInProgress() {
        return requests.count();
    }

    @Override
    public boolean draining() {
        return draining;
    }

    @Override
    public Selection explain(Target target, String workspace, String idempotencyKey) {
        return selector.select(target, workspace, idempotencyKey, Set.of(), System.nanoTime());
    }

    private Optional<String> unreadyReason() {
        if (draining) {
            return Optional.of("shutting down");
        }
        return revision == 0 ? Optional.of("no environment document in force") : Optional.empty();
    }
}
