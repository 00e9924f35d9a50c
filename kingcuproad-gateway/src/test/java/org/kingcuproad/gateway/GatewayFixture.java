package org.kingcuproad.gateway;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.policy.coldstart.ColdRateBound;
import org.kingcuproad.policy.gateway.ClientLimits;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.GatewayRoute;
import org.kingcuproad.policy.gateway.KeyOwner;
import org.kingcuproad.policy.gateway.KeyRequirement;
import org.kingcuproad.policy.gateway.RouteKind;
import org.kingcuproad.policy.gateway.ServiceConfiguration;
import org.kingcuproad.policy.gateway.UpstreamEntry;
import org.kingcuproad.policy.gateway.WeightedService;
import org.kingcuproad.runtime.log.DecisionLog;
import org.kingcuproad.runtime.log.LineSink;

/**
 * A gateway in the test's process, with fake upstreams, a fake store and a client that speaks raw HTTP.
 *
 * <p>Each fixture listens on a loopback address of its own, so that no other process can take one of its ports between
 * their choice and their use.
 */
final class GatewayFixture implements AutoCloseable {

    static final HeaderNames NAMES = new HeaderNames(
            "X-Request",
            "X-Deadline",
            "X-Key",
            "X-Workspace",
            "X-Expect",
            "X-Not-Run",
            "X-Seal",
            "X-Limit",
            "X-Leaving",
            "X-Urgency",
            "X-Tokens",
            "X-Parts",
            "X-Length",
            "Last-Event-Id");

    static final String SEAL = "X-Seal: s\r\n";

    static final String SERVICE = "desk";

    private static final long STORE_DELAY_MS = 500;

    private static final long EVACUATION_MS = 5_000;

    /** Target of calls that a gateway must not make. */
    private static final String UNEXPECTED_TARGET = "/unexpected";

    private static final String STEADY = "STEADY";

    private final List<AutoCloseable> resources = new ArrayList<>();
    private final List<UpstreamEntry> entries = new ArrayList<>();
    private final String host = ownLoopbackAddress();
    private final List<AddedRoute> addedRoutes = new ArrayList<>();
    private final DistinctPorts ports = new DistinctPorts(this::freePort);
    private final int port;
    private final int readyPort;
    private int peerPort;
    private boolean engines;
    private String configurationTarget = "/list";
    private long drainGraceMs = 2_000;
    private long timeoutMs = 2_000;
    private long latencyGoalMs = 100;
    private int orderAttempts = 1;
    private double retrySlack = 100;
    private boolean streamsResumable = true;
    private @Nullable AutoCloseable exit;
    private @Nullable Gateway created;
    private long headerTimeoutMs = 1_000;
    private int maxBodyBytes = 10_000;
    private int maxHeaderBytes = 8_192;
    private long idleTimeoutMs = 5_000;
    private @Nullable ChangingDialect<UpstreamEntry> upstreamDialect;
    private @Nullable ChangingDialect<GatewayConfiguration> configurationDialect;
    private @Nullable ChangingDialect<String> evacuations;
    private int configurationVersion = 3;
    private double coldPerSecond;
    private final AtomicInteger unexpectedCalls = new AtomicInteger();
    private volatile boolean storeAway;
    private String lookupService = SERVICE;
    private OutputStream logOutput = OutputStream.nullOutputStream();

    /** A route besides those of each fixture. */
    private final Map<String, KeyOwner> keyOwners =
            new HashMap<>(Map.of("k1", new KeyOwner("office", OptionalInt.empty())));

    private record AddedRoute(String name, RouteKind kind, String service) {}

    GatewayFixture() throws IOException {
        this.port = ports.next();
        this.readyPort = ports.next();
    }

    private static String ownLoopbackAddress() {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        return "127." + random.nextInt(1, 255) + "." + random.nextInt(1, 255) + "." + random.nextInt(1, 255);
    }

    private int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    /** Lists the upstreams of the service as model engines. */
    void useEngines() {
        engines = true;
    }

    void setPeerPort(int newPeerPort) {
        peerPort = newPeerPort;
    }

    /** Makes the store deliver the configuration later than the upstreams. */
    void delayConfiguration() {
        configurationTarget = "/late-list";
    }

    void setDrainGraceMs(long newDrainGraceMs) {
        drainGraceMs = newDrainGraceMs;
    }

    /** Sets the time that routes and clients allow for a response. */
    void setTimeoutMs(long newTimeoutMs) {
        timeoutMs = newTimeoutMs;
    }

    /** Sets the latency goal of the routes, after which a lookup without a response may be sent elsewhere. */
    void setLatencyGoalMs(long newLatencyGoalMs) {
        latencyGoalMs = newLatencyGoalMs;
    }

    /** Sets the number of upstreams to which an order may be sent. */
    void setOrderAttempts(int newOrderAttempts) {
        orderAttempts = newOrderAttempts;
    }

    /** Sets the number of retries that all gateways together may make in 10 s in addition to their share. */
    void setRetrySlack(double newRetrySlack) {
        retrySlack = newRetrySlack;
    }

    /** Sets whether streams may be resumed at another upstream. */
    void setStreamsResumable(boolean newStreamsResumable) {
        streamsResumable = newStreamsResumable;
    }

    /** Sets the size of a request body up to which clients are served. */
    void setMaxBodyBytes(int newMaxBodyBytes) {
        maxBodyBytes = newMaxBodyBytes;
    }

    /** Sets the size of the headers of a request up to which clients are served. */
    void setMaxHeaderBytes(int newMaxHeaderBytes) {
        maxHeaderBytes = newMaxHeaderBytes;
    }

    /** Sets the time for which a connection stays open without a request. */
    void setIdleTimeoutMs(long newIdleTimeoutMs) {
        idleTimeoutMs = newIdleTimeoutMs;
    }

    void setHeaderTimeoutMs(long newHeaderTimeoutMs) {
        headerTimeoutMs = newHeaderTimeoutMs;
    }

    /** Sets where the gateway writes its log. */
    void setLogOutput(OutputStream newLogOutput) {
        logOutput = newLogOutput;
    }

    InetSocketAddress readyAddress() {
        return new InetSocketAddress(host, readyPort);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(host, port);
    }

    /** Registers an upstream that does not exist. */
    void addEntry(String upstreamHost, int upstreamPort) {
        addEntry(SERVICE, upstreamHost, upstreamPort);
    }

    /** Sets the service of the idempotent route. */
    void setLookupService(String newLookupService) {
        lookupService = newLookupService;
    }

    /** Registers an upstream of a service. */
    void addEntry(String service, String upstreamHost, int upstreamPort) {
        entries.add(new UpstreamEntry("u" + entries.size(), service, upstreamHost, upstreamPort, "dc", 4, false, 0, 0));
    }

    private void addEntryIn(String dataCentre, int upstreamPort) {
        entries.add(new UpstreamEntry(
                "u" + entries.size(), SERVICE, "127.0.0.1", upstreamPort, dataCentre, 4, false, 0, 0));
    }

    FakeUpstream upstreamIn(String dataCentre, Function<String, FakeUpstream.Reply> script) throws IOException {
        FakeUpstream upstream = new FakeUpstream(script);
        resources.add(upstream);
        addEntryIn(dataCentre, upstream.port());
        return upstream;
    }

    StreamingUpstream streamingUpstreamIn(String dataCentre, StreamingUpstream.Script script) throws IOException {
        StreamingUpstream upstream = new StreamingUpstream(script);
        resources.add(upstream);
        addEntryIn(dataCentre, upstream.port());
        return upstream;
    }

    /** Limits the requests a second that all gateways together send to a cold upstream. */
    void setColdPerSecond(double newColdPerSecond) {
        coldPerSecond = newColdPerSecond;
    }

    /** Reports that an upstream is cold with the gateway's next watch. */
    void reportCold(int index, long remainingMs) {
        UpstreamEntry entry = entries.get(index);
        UpstreamEntry cold = new UpstreamEntry(
                entry.id(), entry.service(), entry.host(), entry.port(), entry.dataCentre(), 4, false, 0, remainingMs);
        Objects.requireNonNull(upstreamDialect, "no gateway has been created")
                .change(List.of(new StoreChange<>(new StoreObject<>(entry.id(), Optional.of(cold), ""), false)));
    }

    /** Lets operators evacuate data centres, and makes them begin with some. */
    void useEvacuations(String listTarget, String... dataCentres) {
        evacuations = new ChangingDialect<>(
                Stream.of(dataCentres)
                        .map(name -> new StoreObject<>(name, Optional.of(name), ""))
                        .toList(),
                listTarget);
    }

    /** Reports a change of an evacuation with the gateway's next watch. */
    void changeEvacuation(StoreObject<String> entry, boolean removed) {
        Objects.requireNonNull(evacuations, "no evacuations").change(List.of(new StoreChange<>(entry, removed)));
    }

    /** Makes the store answer every call with an error, or as usual. */
    void setStoreAway(boolean away) {
        storeAway = away;
    }

    /** Returns the number of calls that the gateway's settings do not call for. */
    int unexpectedCalls() {
        return unexpectedCalls.get();
    }

    /** Adds a route {@code /NAME/} to a service. */
    void addRoute(String name, RouteKind kind, String service) {
        addedRoutes.add(new AddedRoute(name, kind, service));
    }

    /** Adds a workspace with a key and a priority of its own. */
    void addWorkspace(String key, String name, int priority) {
        keyOwners.put(key, new KeyOwner(name, OptionalInt.of(priority)));
    }

    /** Registers an upstream of a second service, whose route is {@code /STEADY/}. */
    void addSteadyEntry(int upstreamPort) {
        entries.add(new UpstreamEntry(STEADY, STEADY, "127.0.0.1", upstreamPort, "dc", 4, false, 0, 0));
    }

    /** Replaces a registered upstream by a new instance at another port while the gateway runs. */
    void replaceEntry(String id, String newId, int newPort) {
        UpstreamEntry replacement = new UpstreamEntry(newId, "desk", "127.0.0.1", newPort, "dc", 4, false, 0, 0);
        Objects.requireNonNull(upstreamDialect, "no gateway has been created")
                .change(List.of(
                        new StoreChange<>(new StoreObject<>(id, Optional.empty(), ""), true),
                        new StoreChange<>(new StoreObject<>(newId, Optional.of(replacement), ""), false)));
    }

    FakeUpstream upstream(Function<String, FakeUpstream.Reply> script) throws IOException {
        FakeUpstream upstream = new FakeUpstream(script);
        resources.add(upstream);
        addEntry("127.0.0.1", upstream.port());
        return upstream;
    }

    /** Deletes an upstream's entry, of which the gateway learns with its next watch of the store. */
    void removeEntry(String id) {
        Objects.requireNonNull(upstreamDialect, "no gateway has been created")
                .change(List.of(new StoreChange<>(new StoreObject<>(id, Optional.empty(), ""), true)));
    }

    /** Starts an upstream that writes its responses itself, for example without end. */
    StreamingUpstream streamingUpstream(StreamingUpstream.Script script) throws IOException {
        StreamingUpstream upstream = new StreamingUpstream(script);
        resources.add(upstream);
        addEntry("127.0.0.1", upstream.port());
        return upstream;
    }

    /** Starts an upstream that crashes when it begins to answer a request with a certain prompt part. */
    CrashingUpstream crashingUpstream(String fatalPart) throws IOException {
        CrashingUpstream upstream = new CrashingUpstream(fatalPart);
        resources.add(upstream);
        addEntry("127.0.0.1", upstream.port());
        return upstream;
    }

    private GatewayRoute route(RouteKind kind) {
        return route(kind, attempts(kind), kind.name(), kind == RouteKind.IDEMPOTENT ? lookupService : SERVICE);
    }

    private int attempts(RouteKind kind) {
        return kind == RouteKind.NON_IDEMPOTENT ? orderAttempts : 2;
    }

    private GatewayRoute route(RouteKind kind, int attempts, String name, String service) {
        return new GatewayRoute(
                name,
                "office.example",
                "/" + name + "/",
                kind,
                timeoutMs,
                latencyGoalMs,
                attempts,
                1,
                false,
                streamsResumable,
                List.of(new WeightedService(service, 1)));
    }

    private List<GatewayRoute> routes() {
        return Stream.concat(
                        Stream.of(
                                route(RouteKind.IDEMPOTENT),
                                route(RouteKind.NON_IDEMPOTENT),
                                route(RouteKind.STREAMING),
                                route(RouteKind.IDEMPOTENT, 1, STEADY, STEADY)),
                        addedRoutes.stream()
                                .map(added ->
                                        route(added.kind(), attempts(added.kind()), added.name(), added.service())))
                .toList();
    }

    /** Creates and starts a gateway, and waits until it is ready. */
    Gateway start() throws Exception {
        Gateway gateway = create();
        gateway.start();
        awaitReady();
        return gateway;
    }

    /** Publishes the configuration with the limits that have been set since the gateway was created. */
    void publishLimits() {
        configurationVersion++;
        Objects.requireNonNull(configurationDialect, "no gateway has been created")
                .change(List.of(new StoreChange<>(new StoreObject<>("main", Optional.of(configuration()), ""), false)));
    }

    private GatewayConfiguration configuration() {
        return new GatewayConfiguration(
                configurationVersion,
                routes(),
                Stream.concat(
                                Stream.of(SERVICE, lookupService, STEADY),
                                addedRoutes.stream().map(AddedRoute::service))
                        .distinct()
                        .collect(Collectors.toMap(
                                name -> name,
                                name -> new ServiceConfiguration(
                                        name,
                                        10,
                                        engines && !name.equals(STEADY),
                                        0,
                                        Optional.empty(),
                                        120,
                                        coldPerSecond))),
                new ClientLimits(maxHeaderBytes, maxBodyBytes, headerTimeoutMs, idleTimeoutMs),
                KeyRequirement.ALWAYS,
                Map.copyOf(keyOwners));
    }

    Gateway create() throws Exception {
        HttpServer store = startStore();
        List<StoreObject<UpstreamEntry>> upstreams = entries.stream()
                .map(entry -> new StoreObject<>(entry.id(), Optional.of(entry), ""))
                .toList();
        GatewaySettings settings = new GatewaySettings(
                "g1",
                "dc",
                new InetSocketAddress(host, port),
                new InetSocketAddress(host, readyPort),
                new InetSocketAddress(host, ports.next()),
                new InetSocketAddress(peerPort == 0 ? host : "127.0.0.1", peerPort),
                store.getAddress(),
                true,
                5_000,
                drainGraceMs,
                0.2,
                10_000,
                retrySlack,
                evacuations == null ? OptionalLong.empty() : OptionalLong.of(EVACUATION_MS),
                new ColdRateBound(1.5, 5));
        ChangingDialect<UpstreamEntry> changing = new ChangingDialect<>(upstreams);
        upstreamDialect = changing;
        ChangingDialect<GatewayConfiguration> configurations = new ChangingDialect<>(
                List.of(new StoreObject<>("main", Optional.of(configuration()), "")), configurationTarget);
        configurationDialect = configurations;
        GatewayDialect dialect = new GatewayDialect(
                NAMES,
                configurations,
                changing,
                new FakeRegistry(),
                new FakeQuarantines(),
                evacuations == null ? new ChangingDialect<>(List.of(), UNEXPECTED_TARGET) : evacuations);
        NioEventLoopGroup loops = new NioEventLoopGroup(1);
        exit = () -> loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        resources.add(exit);
        LineSink sink = new LineSink(logOutput);
        Gateway gateway =
                new Gateway(settings, dialect, loops, Clock.SYSTEM, new DecisionLog(sink, System::currentTimeMillis));
        created = gateway;
        return gateway;
    }

    /** Closes all connections of the gateway, as the exit of its process does. */
    void exitGateway() throws Exception {
        Objects.requireNonNull(exit, "no gateway has been created").close();
    }

    private HttpServer startStore() throws IOException {
        HttpServer store = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        store.setExecutor(Executors.newCachedThreadPool(work -> {
            Thread thread = new Thread(work, "fake-store");
            thread.setDaemon(true);
            return thread;
        }));
        store.createContext("/list", exchange -> respond(exchange, 0));
        store.createContext(UNEXPECTED_TARGET, exchange -> {
            unexpectedCalls.incrementAndGet();
            respond(exchange, 0);
        });
        store.createContext("/late-list", exchange -> respond(exchange, STORE_DELAY_MS));
        store.createContext("/watch", exchange -> respond(exchange, STORE_DELAY_MS));
        store.start();
        resources.add(() -> store.stop(0));
        return store;
    }

    private void respond(HttpExchange exchange, long delayMs) throws IOException {
        try {
            Thread.sleep(delayMs);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        exchange.sendResponseHeaders(storeAway ? 503 : 200, -1);
        exchange.close();
    }

    /** Waits until the gateway has read the configuration and the upstreams. */
    void awaitReady() throws Exception {
        long endNs = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (System.nanoTime() < endNs) {
            if (created != null && created.stopped().isCompletedExceptionally()) {
                throw new AssertionError(
                        "the gateway can't bind an address", created.stopped().exceptionNow());
            }
            try (Socket socket = new Socket(host, readyPort)) {
                socket.setSoTimeout(5_000);
                socket.getOutputStream()
                        .write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.UTF_8));
                if (RawResponse.read(socket.getInputStream()).status() == 200) {
                    return;
                }
            } catch (IOException notListening) {
                // The gateway is still starting.
            }
            Thread.sleep(20);
        }
        throw new AssertionError("the gateway was not ready within 10 s");
    }

    static String getRequest(String path, String key, String id) {
        return "GET " + path + " HTTP/1.1\r\nHost: office.example\r\nX-Request: " + id + "\r\nX-Key: " + key
                + "\r\nX-Deadline: 2000\r\nConnection: close\r\n\r\n";
    }

    /** Creates a request of a client that keeps its connection and waits as long as the route. */
    static String keptAlivePostRequest(String path, String id) {
        return "POST " + path + " HTTP/1.1\r\nHost: office.example\r\nX-Request: " + id
                + "\r\nX-Key: k1\r\nContent-Length: 6\r\n\r\nprompt";
    }

    static String postRequest(String path, String id, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: office.example\r\nX-Request: " + id
                + "\r\nX-Key: k1\r\nX-Workspace: forged\r\nX-Deadline: 2000\r\nContent-Length: "
                + body.length() + "\r\nConnection: close\r\n\r\n" + body;
    }

    RawResponse get(String path, String key, String id) throws IOException {
        return exchange(getRequest(path, key, id));
    }

    RawResponse post(String path, String id, String body) throws IOException {
        return exchange(postRequest(path, id, body));
    }

    RawResponse exchange(String raw) throws IOException {
        try (Socket socket = open()) {
            socket.getOutputStream().write(raw.getBytes(StandardCharsets.UTF_8));
            return RawResponse.read(socket.getInputStream());
        }
    }

    /** Sends a request and returns all bytes of the response, up to the end or the reset of the connection. */
    byte[] received(String raw) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        try (Socket socket = open()) {
            socket.getOutputStream().write(raw.getBytes(StandardCharsets.UTF_8));
            socket.getInputStream().transferTo(received);
        } catch (SocketException reset) {
            // A reset also tells the caller that the response is incomplete.
        }
        return received.toByteArray();
    }

    /** Opens a client connection whose reads time out after 5 s. */
    Socket open() throws IOException {
        Socket socket = new Socket(host, port);
        socket.setSoTimeout(5_000);
        return socket;
    }

    static FakeUpstream.Reply ok(String request, String body) {
        return new FakeUpstream.Reply(
                FakeUpstream.response(FakeUpstream.header(request, "X-Request"), 200, SEAL, body), false);
    }

    @Override
    public void close() throws Exception {
        for (AutoCloseable closeable : resources.reversed()) {
            closeable.close();
        }
    }
}
