package org.kingcuproad.gateway.rank;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.gateway.SerialHttpConnection;
import org.kingcuproad.gateway.StoreDialect;
import org.kingcuproad.gateway.StorePage;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.ServiceConfiguration;
import org.kingcuproad.policy.gateway.UpstreamEntry;
import org.kingcuproad.policy.lockstep.GroupShape;
import org.kingcuproad.runtime.log.DecisionLog;

/**
 * Information of a rank agent from the object store: the shape of its group and the addresses of the engines of its
 * service, on whose VMs the other agents run.
 */
final class GroupDirectory {

    /** Interval of listing the engines. They rarely join a group, and a new formation waits for its agents anyway. */
    private static final long LIST_INTERVAL_MS = 5_000;

    /** Interval of checks whether this agent has become a coordinator. */
    private static final long RANK_CHECK_INTERVAL_MS = 200;

    /** Delay after a failed call; calls count towards a rate limit that all processes share. */
    private static final long RETRY_DELAY_MS = 1_000;

    /** A slow store responds within some hundred milliseconds. */
    private static final long TIMEOUT_MS = 1_000;

    private static final byte[] NO_BODY = new byte[0];

    private final RankAgentSettings settings;
    private final StoreDialect<UpstreamEntry> upstreamDialect;
    private final StoreDialect<GatewayConfiguration> configurationDialect;
    private final EventLoop eventLoop;
    private final BooleanSupplier coordinates;
    private final ReplyReader replyReader;
    private final SerialHttpConnection storeConnection;
    private final Map<String, InetSocketAddress> enginesByHost = new HashMap<>();
    private List<InetSocketAddress> peers = List.of();
    private @Nullable GroupShape shape;
    private long maxPauseMs = ServiceConfiguration.DEFAULT_MAX_PAUSE_MS;

    GroupDirectory(
            RankAgentSettings settings,
            StoreDialect<UpstreamEntry> upstreamDialect,
            StoreDialect<GatewayConfiguration> configurationDialect,
            EventLoop eventLoop,
            BooleanSupplier coordinates,
            DecisionLog log) {
        this.coordinates = coordinates;
        this.settings = settings;
        this.upstreamDialect = upstreamDialect;
        this.configurationDialect = configurationDialect;
        this.eventLoop = eventLoop;
        this.replyReader = new ReplyReader(log);
        this.storeConnection = new SerialHttpConnection(eventLoop, settings.storeAddress());
    }

    /**
     * Reads the configuration until it contains the shape of the group, then lists the upstreams periodically. Both
     * calls accept data that is some seconds old, which costs a tenth of an up-to-date read; a group's shape never
     * changes.
     */
    void start() {
        storeConnection.call(HttpMethod.GET, configurationDialect.relaxedListTarget(), NO_BODY, TIMEOUT_MS, reply -> {
            shape = replyReader
                    .read(reply, "configuration", configurationDialect::readPage)
                    .flatMap(this::findShape)
                    .orElse(null);
            if (shape == null) {
                eventLoop.schedule(this::start, RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
            } else {
                listUpstreams();
            }
        });
    }

    /** Lists the upstreams if this agent coordinates; only coordinators call other agents, and each call is charged. */
    private void listUpstreams() {
        if (!coordinates.getAsBoolean()) {
            eventLoop.schedule(this::listUpstreams, RANK_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
            return;
        }
        storeConnection.call(HttpMethod.GET, upstreamDialect.relaxedListTarget(), NO_BODY, TIMEOUT_MS, reply -> {
            replyReader.read(reply, "register", upstreamDialect::readPage).ifPresent(this::onUpstreams);
            eventLoop.schedule(this::listUpstreams, LIST_INTERVAL_MS, TimeUnit.MILLISECONDS);
        });
    }

    private Optional<GroupShape> findShape(StorePage<GatewayConfiguration> page) {
        Optional<ServiceConfiguration> service = page.objects().stream()
                .flatMap(object -> object.value().stream())
                .flatMap(value -> Optional.ofNullable(value.services().get(settings.service())).stream())
                .filter(candidate -> candidate.shape().isPresent())
                .findFirst();
        service.ifPresent(found -> maxPauseMs = found.maxPauseMs());
        return service.flatMap(ServiceConfiguration::shape);
    }

    private void onUpstreams(StorePage<UpstreamEntry> page) {
        List<UpstreamEntry> entries = page.objects().stream()
                .flatMap(object -> object.value().stream())
                .filter(entry -> entry.service().equals(settings.service()))
                .toList();
        enginesByHost.clear();
        entries.forEach(entry -> enginesByHost.put(entry.host(), new InetSocketAddress(entry.host(), entry.port())));
        peers = entries.stream()
                .map(UpstreamEntry::host)
                .filter(host -> !host.equals(settings.agentAddress().getHostString()))
                .distinct()
                .map(host -> new InetSocketAddress(host, settings.agentAddress().getPort()))
                .toList();
    }

    Optional<GroupShape> shape() {
        return Optional.ofNullable(shape);
    }

    /** Returns the longest pause between events of a stream that callers of the service accept as on time. */
    long maxPauseMs() {
        return maxPauseMs;
    }

    /** Returns the addresses of the agents of the service on other VMs. */
    List<InetSocketAddress> peers() {
        return peers;
    }

    /** Returns the address of the engine on the VM of an agent, if it is registered. */
    Optional<InetSocketAddress> engineOf(InetSocketAddress agent) {
        return Optional.ofNullable(enginesByHost.get(agent.getHostString()));
    }

    void close() {
        storeConnection.close();
    }
}
