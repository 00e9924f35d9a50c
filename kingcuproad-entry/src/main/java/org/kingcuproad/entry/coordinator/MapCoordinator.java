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
 * Switches the expert maps of the groups whose lease this entry holds. Owned by the event loop of the entry: every
 * method is called there.
 *
 * <p>It has links of its own, because a switch needs all ranks of a group and the links for requests reach a subset.
 */
public final class MapCoordinator {

    /** Number of leases over which the groups spread; at one renewal in 5 s they cost 6.4 writes a second. */
    public static final int SHARDS = 32;

    private static final long TICK_MS = 100;

    private final ObjectStore store;
    private final EventLoop eventLoop;
    private final LongSupplier clockMs;
    private final String scope;
    private final String holderId;
    private final AgentLinks links;
    private final MapRecords records;
    private final MapPlanSource source;
    private final Map<Integer, LeaseTask> leases = new HashMap<>();
    private final Map<String, GroupTask> groups = new HashMap<>();
    private Map<String, InetSocketAddress> agents = Map.of();
    private Map<String, InetSocketAddress> connected = Map.of();
    private @Nullable ScheduledFuture<?> ticks;

    /**
     * Creates a coordinator without groups.
     *
     * @param entry name of this entry
     * @param environment name of the environment
     * @param stage stage of the environment; the trial stage has leases and maps of its own
     * @param store the platform's store
     * @param eventLoop event loop of the entry
     * @param clockMs monotonic clock, in milliseconds
     * @param source decides which maps the groups use
     */
    public MapCoordinator(
            String entry,
            String environment,
            Stage stage,
            ObjectStore store,
            EventLoop eventLoop,
            LongSupplier clockMs,
            MapPlanSource source) {
        this.store = store;
        this.eventLoop = eventLoop;
        this.clockMs = clockMs;
        this.scope = stage == Stage.PRODUCTION ? environment : environment + "~" + stage.label();
        this.holderId = entry + "/" + UUID.randomUUID();
        this.links = new AgentLinks(entry + "-maps", eventLoop, new NoReports(), System::nanoTime);
        this.records = new MapRecords(store, "maps/" + scope + "/");
        this.source = source;
    }

    /** Begins to acquire leases and to switch maps. */
    public void start() {
        ticks = eventLoop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Takes the groups and the addresses of their agents. The ranks of a group are its upstreams in the order of the
     * document.
     *
     * @param document the document in force
     * @param addresses addresses of the agents by VM
     */
    public void update(EnvironmentDocument document, Map<String, HostPort> addresses) {
        Map<String, List<String>> members = document.modelGroups().stream()
                .collect(Collectors.toMap(group -> group.name(), group -> members(document, group.name())));
        groups.entrySet()
                .removeIf(known -> !known.getValue().upstreams().equals(members.get(known.getKey()))
                        && known.getValue().idle());
        members.forEach((group, upstreams) -> groups.computeIfAbsent(
                group, added -> new GroupTask(group, upstreams, links, records, source, eventLoop, clockMs)));
        groups.keySet().forEach(group -> leases.computeIfAbsent(shard(group), this::lease));
        agents = UpstreamDirectory.addresses(
                document.upstreams().stream()
                        .filter(upstream -> members.containsKey(upstream.group()))
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
        LeaseTask lease = leases.get(shard(group));
        return lease == null ? OptionalLong.empty() : lease.token();
    }

    /** Stops. A switch that is under way is settled by the ranks; the lease expires by itself. */
    public void close() {
        if (ticks != null) {
            ticks.cancel(false);
        }
        links.close();
    }

    private void tick() {
        leases.values().forEach(LeaseTask::tick);
        connect();
        groups.forEach((group, task) ->
                task.tick(Objects.requireNonNull(leases.get(shard(group))).token()));
    }

    /** Connects to the ranks of the groups whose lease is held or whose switch is under way, and to no others. */
    private void connect() {
        Map<String, InetSocketAddress> wanted = new HashMap<>(agents);
        wanted.keySet()
                .retainAll(groups.entrySet().stream()
                        .filter(group -> !group.getValue().idle()
                                || token(group.getKey()).isPresent())
                        .flatMap(group -> group.getValue().upstreams().stream())
                        .collect(Collectors.toSet()));
        if (!wanted.equals(connected)) {
            connected = wanted;
            links.update(wanted);
        }
    }

    private LeaseTask lease(int shard) {
        return new LeaseTask(store, eventLoop, clockMs, "leases/" + scope + "/" + shard, holderId);
    }

    private static List<String> members(EnvironmentDocument document, String group) {
        return document.upstreams().stream()
                .filter(upstream -> upstream.group().equals(group))
                .map(Upstream::name)
                .toList();
    }

    private static int shard(String group) {
        return Math.floorMod(group.hashCode(), SHARDS);
    }

    /** The links keep the incarnation of their agent; nothing else of a report is needed here. */
    private static final class NoReports implements ReportListener {

        @Override
        public void onReport(String upstream, AgentReport report) {}

        @Override
        public void onUnreachable(String upstream, String detail) {}
    }
}
