package org.kingcuproad.daemon;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.kingcuproad.agent.Agent;
import org.kingcuproad.agent.AgentOptions;
import org.kingcuproad.agent.ClaimOptions;
import org.kingcuproad.config.settings.EntrySettings;
import org.kingcuproad.emulator.engine.EngineSettings;
import org.kingcuproad.emulator.engine.EngineStandIn;
import org.kingcuproad.emulator.platform.PlatformStandIn;
import org.kingcuproad.emulator.service.ServiceSettings;
import org.kingcuproad.emulator.service.ServiceStandIn;
import org.kingcuproad.entry.Entry;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.model.Limits;
import org.kingcuproad.model.Model;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.model.PlacementSettings;
import org.kingcuproad.model.Route;
import org.kingcuproad.model.Service;
import org.kingcuproad.model.Stage;
import org.kingcuproad.model.Upstream;
import org.kingcuproad.model.UpstreamKind;
import org.kingcuproad.model.VersionedDocument;
import org.kingcuproad.model.Workspace;

/** Entries, agents and stand-ins on loopback in one process. */
final class LocalSystem implements AutoCloseable {

    static final String HOST = "127.0.0.1";
    /** SHA-256 of {@code secret}. */
    static final String SECRET_SHA256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";

    final List<EngineStandIn> engines = new ArrayList<>();
    final List<ServiceStandIn> services = new ArrayList<>();
    final List<Agent> agents = new ArrayList<>();
    final List<Entry> entries = new ArrayList<>();
    final List<TcpFault> faults = new ArrayList<>();
    Optional<PlatformStandIn> platform = Optional.empty();
    private final List<AgentOptions> agentOptions = new ArrayList<>();
    private boolean faulty;
    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final List<Upstream> upstreams = new ArrayList<>();
    private final Map<String, HostPort> addresses = new HashMap<>();

    LocalSystem withPlatform() throws KingcuproadException {
        platform = Optional.of(PlatformStandIn.start(HOST, 0));
        return this;
    }

    /** Puts a fault between the entries and the agents that are added from now on. */
    LocalSystem withFaults() {
        faulty = true;
        return this;
    }

    LocalSystem withEngine(EngineSettings settings) throws KingcuproadException {
        EngineStandIn engine = EngineStandIn.start(eventLoops, settings);
        engines.add(engine);
        return withAgent("drafter-" + engines.size(), UpstreamKind.MODEL, "drafting", engine.port());
    }

    LocalSystem withService(ServiceSettings settings) throws KingcuproadException {
        ServiceStandIn service = ServiceStandIn.start(eventLoops, settings);
        services.add(service);
        return withAgent("orders-" + services.size(), UpstreamKind.SERVICE, "refill-orders", service.port());
    }

    LocalSystem withEntry(String name) throws KingcuproadException {
        Entry entry = Entry.start(new EntrySettings(
                name,
                "lowell",
                "merrimack",
                Stage.PRODUCTION,
                HOST,
                0,
                0,
                0,
                "http://127.0.0.1:1",
                SECRET_SHA256,
                List.of(),
                24));
        entry.applyDocument(new VersionedDocument(document(), 1, "test"));
        entry.applyAddresses(addresses);
        entries.add(entry);
        return this;
    }

    private LocalSystem withAgent(String name, UpstreamKind kind, String group, int upstreamPort)
            throws KingcuproadException {
        AgentOptions options = options(name, "http://" + HOST + ":" + upstreamPort, kind, agents.size() + 1L);
        Agent agent = Agent.start(options);
        agents.add(agent);
        agentOptions.add(options.withListen(HOST, agent.port(), 0));
        upstreams.add(new Upstream(name, name, "lowell", kind, group, 32, true));
        addresses.put(name, new HostPort(HOST, faulty ? faultBefore(agent.port()) : agent.port()));
        return this;
    }

    /** Stops an agent at once and starts it anew at the same address, as a new incarnation without memory. */
    void restartAgent(int index) throws KingcuproadException {
        agents.get(index).close();
        AgentOptions old = agentOptions.get(index);
        UpstreamKind kind = old.reportsLoad() ? UpstreamKind.MODEL : UpstreamKind.SERVICE;
        AgentOptions options = options(old.upstream(), old.upstreamUrl(), kind, 1_000L + old.incarnation());
        agents.set(index, Agent.start(options.withListen(HOST, old.port(), 0)));
    }

    int ordersRun() {
        return services.stream().mapToInt(ServiceStandIn::orders).sum();
    }

    private int faultBefore(int port) {
        try {
            TcpFault fault = new TcpFault(eventLoops, port);
            faults.add(fault);
            return fault.port();
        } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    private AgentOptions options(String name, String url, UpstreamKind kind, long incarnation) {
        return AgentOptions.of(name, url, incarnation)
                .withReportsLoad(kind == UpstreamKind.MODEL)
                .withClaims(claims());
    }

    private ClaimOptions claims() {
        return platform.map(running -> new ClaimOptions(running.url(), "merrimack", 3_600))
                .orElseGet(ClaimOptions::none);
    }

    private EnvironmentDocument document() {
        Route orders = new Route("/orders", List.of("POST"), false, 5_000);
        Route stock = new Route("/stock", List.of("GET"), true, 5_000);
        return new EnvironmentDocument(
                "merrimack",
                "new-england",
                List.of("lowell"),
                List.of(new Model("refill-drafter", 30_000, 33, 30_000)),
                List.of(new ModelGroup("drafting", "refill-drafter", 4, 2, 8, 4)),
                List.of(new Service("refill-orders", List.of(orders, stock))),
                upstreams,
                List.of(new Workspace("andover-clerk", SECRET_SHA256, 1, 1_000)),
                new Limits(1 << 20, 16 << 10, 1_000, 0.1, 0, 30, 3_600),
                new PlacementSettings(1, 1, 600, 1 << 30, 1 << 20));
    }

    @Override
    public void close() {
        entries.forEach(Entry::close);
        faults.forEach(TcpFault::close);
        agents.forEach(Agent::close);
        engines.forEach(EngineStandIn::close);
        services.forEach(ServiceStandIn::close);
        platform.ifPresent(PlatformStandIn::close);
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
