package org.kingcuproad.daemon;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.kingcuproad.agent.Agent;
import org.kingcuproad.agent.AgentOptions;
import org.kingcuproad.agent.ClaimOptions;
import org.kingcuproad.config.settings.AgentSettings;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.model.Upstream;
import org.kingcuproad.model.UpstreamKind;
import org.kingcuproad.model.VersionedDocument;
import org.kingcuproad.platform.HttpObjectStore;
import org.kingcuproad.platform.ObjectStore;
import org.kingcuproad.platform.ObjectStoreSettings;
import org.kingcuproad.platform.Vm;
import org.kingcuproad.relay.DocumentFollower;
import org.kingcuproad.relay.FollowerListener;
import org.kingcuproad.relay.FollowerOptions;
import org.kingcuproad.runtime.log.StructuredLog;

/**
 * An agent that follows the environment document. It starts to serve with the first document that names its upstream.
 */
final class AgentProcess implements FollowerListener {

    private static final int DEFAULT_DRAIN_LIMIT_SECONDS = 60;
    private static final int MAX_QUEUED = 128;

    private final AgentSettings settings;
    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = eventLoops.next();
    private final ObjectStore store;
    private final DocumentFollower follower;
    private volatile Optional<Agent> agent = Optional.empty();
    private volatile int drainLimitSeconds = DEFAULT_DRAIN_LIMIT_SECONDS;

    private AgentProcess(AgentSettings settings) {
        this.settings = settings;
        this.store = HttpObjectStore.open(ObjectStoreSettings.of(settings.platformUrl()), eventLoops);
        FollowerOptions options = new FollowerOptions(
                settings.upstream(),
                settings.dataCentre(),
                settings.environment(),
                settings.stage(),
                false,
                settings.relays());
        this.follower = new DocumentFollower(
                options, store, eventLoop, this, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    }

    /**
     * Starts the process.
     *
     * @param settings settings of the agent
     * @return the running process
     */
    static AgentProcess start(AgentSettings settings) {
        AgentProcess process = new AgentProcess(settings);
        process.follower.start();
        return process;
    }

    @Override
    public void onDocument(VersionedDocument versioned) {
        drainLimitSeconds = versioned.document().limits().drainLimitSeconds();
        Optional<Upstream> upstream = versioned.document().upstream(settings.upstream());
        if (upstream.isEmpty()) {
            StructuredLog.warn(
                    "the document does not name this upstream",
                    Map.of("upstream", settings.upstream(), "revision", versioned.revision()));
            return;
        }
        if (agent.isEmpty()) {
            startAgent(upstream.get(), versioned);
        }
        agent.ifPresent(running -> running.setDocumentRevision(versioned.revision()));
        StructuredLog.info(
                "document in force", Map.of("upstream", settings.upstream(), "revision", versioned.revision()));
    }

    @Override
    public void onVms(List<Vm> vms) {}

    /** Finishes what runs, bounded by the drain limit of the document, and stops. */
    void stop() {
        CompletableFuture<Void> drained =
                agent.map(Agent::drain).orElseGet(() -> CompletableFuture.completedFuture(null));
        GracefulStop.await(drained, drainLimitSeconds, TimeUnit.SECONDS);
        agent.ifPresent(Agent::close);
        eventLoop.execute(follower::close);
        store.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void startAgent(Upstream upstream, VersionedDocument versioned) {
        long incarnation = new SecureRandom().nextLong(1, Long.MAX_VALUE);
        int retentionSeconds = versioned.document().limits().claimRetentionSeconds();
        AgentOptions options = AgentOptions.of(settings.upstream(), settings.upstreamUrl(), incarnation)
                .withListen(settings.listenHost(), settings.agentPort(), settings.adminPort())
                .withReportsLoad(upstream.kind() == UpstreamKind.MODEL)
                .withCapacity(upstream.maxConcurrent(), MAX_QUEUED)
                .withClaims(new ClaimOptions(settings.platformUrl(), settings.environment(), retentionSeconds));
        try {
            agent = Optional.of(Agent.start(options));
        } catch (KingcuproadException failure) {
            StructuredLog.warn(failure, "the agent cannot start", Map.of("upstream", settings.upstream()));
        }
    }
}
