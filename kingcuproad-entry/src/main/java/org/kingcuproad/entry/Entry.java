package org.kingcuproad.entry;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.kingcuproad.config.settings.EntrySettings;
import org.kingcuproad.entry.document.DocumentInForce;
import org.kingcuproad.entry.document.UpstreamDirectory;
import org.kingcuproad.entry.link.AgentLinks;
import org.kingcuproad.entry.request.CallerHandler;
import org.kingcuproad.entry.request.RequestTasks;
import org.kingcuproad.entry.request.RouterSelector;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.model.Upstream;
import org.kingcuproad.model.VersionedDocument;
import org.kingcuproad.policy.routing.RouterSettings;
import org.kingcuproad.policy.routing.UpstreamRouter;
import org.kingcuproad.runtime.http.HttpServer;
import org.kingcuproad.runtime.http.HttpServerSettings;
import org.kingcuproad.runtime.http.OperationsHandler;
import org.kingcuproad.runtime.log.StructuredLog;
import org.kingcuproad.runtime.trace.Tracing;

/** An entry process. One event loop owns all of its state. */
public final class Entry {

    private static final double TRACE_SAMPLE_RATIO = 1.0;

    private final EntrySettings settings;
    private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = eventLoops.next();
    private final MetricRegistry metrics = new MetricRegistry();
    private final RouterSelector selector;
    private final AgentLinks links;
    private final UpstreamDirectory directory;
    private final HttpServer callers;
    private final HttpServer admin;
    private Optional<DocumentInForce> document = Optional.empty();
    private Map<String, HostPort> vmAddresses = Map.of();
    private volatile boolean draining;
    private volatile long revision;

    private Entry(EntrySettings settings) throws KingcuproadException {
        this.settings = settings;
        this.directory = new UpstreamDirectory(settings.name(), settings.subsetSize());
        UpstreamRouter router = UpstreamRouter.create(
                RouterSettings.defaults(),
                settings.dataCentre(),
                settings.name().hashCode());
        this.selector = new RouterSelector(router, System::nanoTime);
        this.links = new AgentLinks(settings.name(), eventLoop, selector, System::nanoTime);
        Tracing tracing = Tracing.toLog(settings.name(), TRACE_SAMPLE_RATIO);
        RequestTasks tasks =
                new RequestTasks(eventLoop, links, selector, () -> true, tracing, metrics, System::nanoTime);
        CallerHandler handler = new CallerHandler(() -> document, tasks, tracing, System::nanoTime);
        this.callers = HttpServer.start(
                eventLoops, HttpServerSettings.of(settings.listenHost(), settings.callerPort()), handler);
        this.admin = HttpServer.start(
                eventLoops,
                HttpServerSettings.of(settings.listenHost(), settings.adminPort()),
                OperationsHandler.standalone(metrics, this::unreadyReason));
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
        StructuredLog.info(
                "entry started",
                Map.of("entry", settings.name(), "callerPort", entry.callerPort(), "adminPort", entry.adminPort()));
        return entry;
    }

    /**
     * Returns the port for callers.
     *
     * @return the TCP port
     */
    public int callerPort() {
        return callers.port();
    }

    /**
     * Returns the port for health, metrics and administration.
     *
     * @return the TCP port
     */
    public int adminPort() {
        return admin.port();
    }

    /**
     * Puts a document in force, if its revision is greater than the one in force. May be called from any thread.
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
            StructuredLog.info("document in force", Map.of("entry", settings.name(), "revision", revision));
            refreshUpstreams();
        });
    }

    /**
     * Takes the addresses of the agents. May be called from any thread.
     *
     * @param addresses addresses by VM
     */
    public void applyAddresses(Map<String, HostPort> addresses) {
        eventLoop.execute(() -> {
            if (!addresses.equals(vmAddresses)) {
                vmAddresses = Map.copyOf(addresses);
                refreshUpstreams();
            }
        });
    }

    /**
     * Begins a graceful shutdown: readiness fails, connections are no longer kept alive, requests are still answered.
     *
     * @return completes when no request is in progress
     */
    public CompletableFuture<Void> drain() {
        draining = true;
        return callers.drain();
    }

    /** Stops at once. Call {@link #drain()} first for a graceful shutdown. */
    public void close() {
        callers.close();
        admin.close();
        eventLoop.execute(links::close);
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void refreshUpstreams() {
        document.ifPresent(current -> {
            List<Upstream> connected = directory.connected(current.versioned().document(), vmAddresses);
            links.update(UpstreamDirectory.addresses(connected, vmAddresses));
            selector.update(current.versioned().document(), connected, System.nanoTime());
        });
    }

    private Optional<String> unreadyReason() {
        if (draining) {
            return Optional.of("shutting down");
        }
        return revision == 0 ? Optional.of("no environment document in force") : Optional.empty();
    }
}
