package org.kingcuproad.gateway.rank;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.gateway.SerialHttpConnection;
import org.kingcuproad.gateway.StoreDialect;
import org.kingcuproad.gateway.StorePage;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.UpstreamEntry;
import org.kingcuproad.policy.lockstep.GroupShape;
import org.kingcuproad.runtime.log.DecisionLog;

/** What a rank agent knows from the store: the shape of its group and the VMs of the other engines of its service. */
final class GroupDirectory {

    /** Engines join a group rarely, and a new formation waits for its agents anyway. */
    private static final long LISTING_MS = 5_000;

    /** Pause after a failed call; calls count against a rate that all processes share. */
    private static final long RETRY_MS = 1_000;
    /** A slow store answers in some hundred milliseconds. */
    private static final long TIMEOUT_MS = 1_000;

    private static final byte[] NO_BODY = new byte[0];

    private final RankAgentSettings settings;
    private final StoreDialect<UpstreamEntry> register;
    private final StoreDialect<GatewayConfiguration> configuration;
    private final EventLoop eventLoop;
    private final ReplyReader replies;
    private final SerialHttpConnection store;
    private final Map<String, InetSocketAddress> engines = new HashMap<>();
    private List<InetSocketAddress> peers = List.of();
    private @Nullable GroupShape shape;

    GroupDirectory(
            RankAgentSettings settings,
            StoreDialect<UpstreamEntry> register,
            StoreDialect<GatewayConfiguration> configuration,
            EventLoop eventLoop,
            DecisionLog log) {
        this.settings = settings;
        this.register = register;
        this.configuration = configuration;
        this.eventLoop = eventLoop;
        this.replies = new ReplyReader(log);
        this.store = new SerialHttpConnection(eventLoop, settings.storeAddress());
    }

    /**
     * Reads the configuration until it tells the shape, then the register again and again. Both may be some seconds
     * old, since a group's shape never changes; such calls cost a tenth.
     */
    void start() {
        store.call(HttpMethod.GET, configuration.relaxedListTarget(), NO_BODY, TIMEOUT_MS, reply -> {
            shape = replies.read(reply, "configuration", configuration::readPage)
                    .flatMap(this::shapeIn)
                    .orElse(null);
            if (shape == null) {
                eventLoop.schedule(this::start, RETRY_MS, TimeUnit.MILLISECONDS);
            } else {
                readRegister();
            }
        });
    }

    private void readRegister() {
        store.call(HttpMethod.GET, register.relaxedListTarget(), NO_BODY, TIMEOUT_MS, reply -> {
            replies.read(reply, "register", register::readPage).ifPresent(this::onRegister);
            eventLoop.schedule(this::readRegister, LISTING_MS, TimeUnit.MILLISECONDS);
        });
    }

    private Optional<GroupShape> shapeIn(StorePage<GatewayConfiguration> page) {
        return page.objects().stream()
                .flatMap(object -> object.value().stream())
                .flatMap(current -> Optional.ofNullable(current.services().get(settings.service())).stream())
                .flatMap(service -> service.shape().stream())
                .findFirst();
    }

    private void onRegister(StorePage<UpstreamEntry> page) {
        List<UpstreamEntry> entries = page.objects().stream()
                .flatMap(object -> object.value().stream())
                .filter(entry -> entry.service().equals(settings.service()))
                .toList();
        engines.clear();
        entries.forEach(entry -> engines.put(entry.host(), new InetSocketAddress(entry.host(), entry.port())));
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

    /** Returns the addresses of the other agents of the service. */
    List<InetSocketAddress> peers() {
        return peers;
    }

    /** Returns the engine beside an agent. */
    Optional<InetSocketAddress> engineBeside(InetSocketAddress agent) {
        return Optional.ofNullable(engines.get(agent.getHostString()));
    }

    void close() {
        store.close();
    }
}
