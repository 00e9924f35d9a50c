package org.kingcuproad.emulator.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.runtime.http.HttpExchange;
import org.kingcuproad.runtime.http.HttpServer;
import org.kingcuproad.runtime.http.HttpServerSettings;
import org.kingcuproad.runtime.http.Problems;

/** A model engine that answers with deterministic text at a set speed. Its state lives on one event loop. */
public final class EngineStandIn {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EventLoop loop;
    private final EngineSettings settings;
    private final TokenPace pace;
    private final @Nullable MapRoutes maps;
    private final HttpServer server;
    private final ConcurrentHashMap<String, Integer> runs = new ConcurrentHashMap<>();
    private final ArrayDeque<ChatRun> waiting = new ArrayDeque<>();
    private final LoadHistory load;
    private volatile int running;
    private long tokens;

    private EngineStandIn(
            EventLoopGroup eventLoops,
            EventLoop loop,
            EngineSettings settings,
            TokenPace pace,
            @Nullable MapRoutes maps)
            throws KingcuproadException {
        this.loop = loop;
        this.settings = settings;
        this.pace = pace;
        this.maps = maps;
        this.load = new LoadHistory(TimeUnit.MILLISECONDS.toNanos(settings.reportLagMs()));
        this.server =
                HttpServer.start(eventLoops, HttpServerSettings.of(settings.host(), settings.port()), this::handle);
    }

    /**
     * Starts an engine.
     *
     * @param eventLoops event loops for the engine and its connections
     * @param settings how it listens, how fast it is and how it fails
     * @return the running engine
     * @throws KingcuproadException if the address can't be bound
     */
    public static EngineStandIn start(EventLoopGroup eventLoops, EngineSettings settings) throws KingcuproadException {
        EventLoop loop = eventLoops.next();
        return new EngineStandIn(eventLoops, loop, settings, timerPace(loop, settings.tokenMs()), null);
    }

    /**
     * Starts an engine that is part of a group.
     *
     * @param eventLoops event loops for the connections
     * @param loop event loop of the group
     * @param settings how the engine listens and how it fails
     * @param pace steps of the group
     * @param maps map calls of the engine
     * @return the running engine
     * @throws KingcuproadException if the address can't be bound
     */
    static EngineStandIn startInGroup(
            EventLoopGroup eventLoops, EventLoop loop, EngineSettings settings, TokenPace pace, MapRoutes maps)
            throws KingcuproadException {
        return new EngineStandIn(eventLoops, loop, settings, pace, maps);
    }

    private static TokenPace timerPace(EventLoop loop, long tokenMs) {
        return tokenMs == 0 ? loop::execute : action -> loop.schedule(action, tokenMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the port.
     *
     * @return the TCP port that the engine listens on
     */
    public int port() {
        return server.port();
    }

    /**
     * Counts the runs of a request.
     *
     * @param requestId id of the request
     * @return how often the engine began to run it
     */
    public int runs(String requestId) {
        return runs.getOrDefault(requestId, 0);
    }

    /**
     * Counts the runs in progress.
     *
     * @return runs that were neither finished nor cancelled
     */
    public int running() {
        return running;
    }

    /** Stops listening and closes all connections at once. */
    public void close() {
        server.close();
    }

    private void handle(HttpExchange exchange) {
        loop.execute(() -> route(exchange));
    }

    private void route(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/v1/chat/completions" -> accept(exchange);
            case "/control/load" -> respondLoad(exchange);
            case "/control/runs" -> respondRuns(exchange);
            default -> routeMaps(exchange);
        }
    }

    private void routeMaps(HttpExchange exchange) {
        if (maps != null && exchange.path().startsWith("/control/maps")) {
            maps.handle(exchange);
        } else {
            Problems.respond(exchange, ErrorKind.NOT_FOUND, exchange.path(), "");
        }
    }

    private void accept(HttpExchange exchange) {
        String requestId = exchange.header("X-Request-Id").orElse("");
        try {
            enqueue(exchange, ChatRequest.parse(requestId, exchange.body()));
        } catch (IOException malformed) {
            Problems.respond(exchange, ErrorKind.BAD_REQUEST, "the body is not JSON", requestId);
        }
    }

    private void enqueue(HttpExchange exchange, ChatRequest request) {
        ChatRun run = new ChatRun(loop, pace, settings, exchange, request, this::countToken, this::endRun);
        if (running < settings.maxConcurrent()) {
            begin(request, run);
        } else if (waiting.size() < settings.maxWaiting()) {
            waiting.add(run);
            recordLoad();
        } else {
            Problems.respond(exchange, ErrorKind.OVERLOADED, "the queue is full", request.requestId());
        }
    }

    private void begin(ChatRequest request, ChatRun run) {
        running++;
        runs.merge(request.requestId(), 1, Integer::sum);
        recordLoad();
        run.start();
    }

    private void countToken() {
        tokens++;
    }

    private void endRun() {
        running--;
        ChatRun next = waiting.poll();
        if (next != null) {
            begin(next.request(), next);
        } else {
            recordLoad();
        }
    }

    private void recordLoad() {
        load.record(System.nanoTime(), running, waiting.size(), tokens);
    }

    private void respondLoad(HttpExchange exchange) {
        long nowNs = System.nanoTime();
        LoadHistory.Sample sample = load.at(nowNs);
        exchange.respondJson(
                200,
                MAPPER.createObjectNode()
                        .put("running", sample.running())
                        .put("waiting", sample.waiting())
                        .put("tokensPerSecond", load.tokensPerSecond(nowNs))
                        .put("ageMs", settings.reportLagMs())
                        .toString());
    }

    private void respondRuns(HttpExchange exchange) {
        int count = runs(exchange.queryValue("requestId").orElse(""));
        exchange.respondJson(200, MAPPER.valueToTree(Map.of("runs", count)).toString());
    }
}
