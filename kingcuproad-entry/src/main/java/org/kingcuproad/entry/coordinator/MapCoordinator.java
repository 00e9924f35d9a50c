package org.kingcuproad.entry.coordinator;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.entry.document.UpstreamDirectory;
import org.kingcuproad.entry.link.AgentLinks;
import org.kingcuproad.entry.link.ReportListener;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.Stage;
import org.kingcuproad.model.Upstream;
import org.kingcuproad.platform.ObjectStore;
import org.kingcuproad.wire.proto.AgentReport;

/**
 * Performs the expert map switches of the groups whose lease this entry holds. Confined to the event loop of the entry:
 * every method must be called there.
 *
 * <p>The coordinator uses its own agent links, because a switch needs all ranks of a group, whereas the links for
 * requests connect to a subset of the upstreams.
 */
public final class MapCoordinator {

    /**
     * Number of leases among which the groups are distributed; renewing each every 5 s takes 6.4 store writes per
     * second.
     */
    public static final int LEASE_SHARDS = 32;

    private static final long TICK_MS = 100;

    private final ObjectStore store;
    private final EventLoop eventLoop;
    private final LongSupplier clockMs;
    private final String keyScope;
    private final String holderId;
    private final AgentLinks links;
    private final MapRepository repository;
    private final MapTargetSource targetSource;
    private final Map<Integer, LeaseClient> leases = new HashMap<>();
    private final Map<String, GroupMapSwitcher> groups = new HashMap<>();
    private Map<String, InetSocketAddress> agentAddresses = Map.of();
    private Map<String, InetSocketAddress> connectedAddresses = Map.of();
    private @Nullable ScheduledFuture<?> tickTimer;

    /**
     * Creates a coordinator that has no groups until {@link #update}.
     *
     * @param entry name of this entry
     * @param environment name of the environment
     * @param stage stage of the environment; the trial stage uses separate leases and map objects
     * @param store the platform's store
     * @param eventLoop event loop of the entry
     * @param clockMs monotonic clock, in milliseconds
     * @param targetSource supplies the maps that the groups switch to
     */
    public MapCoordinator(
            String entry,
            String environment,
            Stage stage,
            ObjectStore store,
            EventLoop eventLoop,
            LongSupplier clockMs,
            MapTargetSource targetSource) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.clockMs = clockMs;
        this.keyScope = stage == Stage.PRODUCTION ? environment : environment + "~" + stage.label();
        this.holderId = entry + "/" + UUID.randomUUID();
        this.links = new AgentLinks(entry + "-maps", eventLoop, new NoOpReportListener(), System::nanoTime);
        this.repository = new MapRepository(store, "maps/" + keyScope + "/");
        this.targetSource = targetSource;
    }

    /** Starts acquiring leases and switching maps. */
    public void start() {
        tickTimer = eventLoop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Updates the groups and the addresses of their agents. The ranks of a group are its upstreams in the order of the
     * document.
     *
     * @param document the document in force
     * @param addresses addresses of the agents by VM
     */
    public void update(EnvironmentDocument document, Map<String, HostPort> addresses) {
        Map<String, List<String>> upstreamsByGroup = document.modelGroups().stream()
                .collect(Collectors.toMap(group -> group.name(), group -> upstreamNames(document, group.name())));
        groups.entrySet()
                .removeIf(existing -> !existing.getValue().upstreams().equals(upstreamsByGroup.get(existing.getKey()))
                        && existing.getValue().idle());
        upstreamsByGroup.forEach((group, upstreams) -> groups.computeIfAbsent(
                group,
                name -> new GroupMapSwitcher(group, upstreams, links, repository, targetSource, eventLoop, clockMs)));
        groups.keySet().forEach(group -> leases.computeIfAbsent(leaseShard(group), this::createLease));
        agentAddresses = UpstreamDirectory.agentAddresses(
                document.upstreams().stream()
                        .filter(upstream -> upstreamsByGroup.containsKey(upstream.group()))
                        .toList(),
                addresses);
        connect();
    }

    /**
     * Returns the fencing token of a group.
     *
     * @param group name of the group
     * @return the token, or empty if this entry does not hold the lease of the group
     */
    public OptionalLong token(String group) {
        LeaseClient lease = leases.get(leaseShard(group));
        return lease == null ? OptionalLong.empty() : lease.token();
    }

    /** Stops the coordinator. The ranks settle a switch in progress among themselves, and the leases expire. */
    public void close() {
        if (tickTimer != null) {
            tickTimer.cancel(false);
        }
        links.close();
    }

    private void tick() {
        leases.values().forEach(LeaseClient::tick);
        connect();
        groups.forEach((group, switcher) -> switcher.tick(
                Objects.requireNonNull(leases.get(leaseShard(group))).token()));
    }

    /** Connects only to the ranks of groups whose lease is held or whose switch is in progress. */
    private void connect() {
        Map<String, InetSocketAddress> requiredAddresses = new HashMap<>(agentAddresses);
        requiredAddresses
                .keySet()
                .retainAll(groups.entrySet().stream()
                        .filter(group -> !group.getValue().idle()
                                || token(group.getKey()).isPresent())
                        .flatMap(group -> group.getValue().upstreams().stream())
                        .collect(Collectors.toSet()));
        if (!requiredAddresses.equals(connectedAddresses)) {
            connectedAddresses = requiredAddresses;
            links.update(requiredAddresses);
        }
    }

    private LeaseClient createLease(int shard) {
        return new LeaseClient(store, eventLoop, clockMs, "leases/" + keyScope + "/" + shard, holderId);
    }

    private static List<String> upstreamNames(EnvironmentDocument document, String group) {
        return document.upstreams().stream()
                .filter(upstream -> upstream.group().equals(group))
                .map(Upstream::name)
                .toList();
    }

    private static int leaseShard(String group) {
        return Math.floorMod(group.hashCode(), LEASE_SHARDS);
    }

    /** Ignores the reports: the links record the incarnation of their agent, and the coordinator needs nothing else. */
    private static final class NoOpReportListener implements ReportListener {

        @Override
        public void onReport(String upstream, AgentReport report) {}

        @Override
        public void onUnreachable(String upstream, String detail) {}
    }
}
