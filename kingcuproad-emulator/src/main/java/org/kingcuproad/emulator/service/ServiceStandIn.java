package org.kingcuproad.emulator.service;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.runtime.http.HttpExchange;
import org.kingcuproad.runtime.http.HttpServer;
import org.kingcuproad.runtime.http.HttpServerSettings;
import org.kingcuproad.runtime.http.Problems;

/** A plain service that places orders, which are not idempotent, and looks up stock. */
public final class ServiceStandIn {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String STOCK_PREFIX = "/stock/";
    private static final int STOCK_RANGE = 500;

    private final ServiceSettings settings;
    private final HttpServer server;
    private final ConcurrentHashMap<String, Integer> runs = new ConcurrentHashMap<>();
    private final AtomicInteger orders = new AtomicInteger();

    private ServiceStandIn(EventLoopGroup eventLoops, ServiceSettings settings) throws KingcuproadException {
        this.settings = settings;
        this.server =
                HttpServer.start(eventLoops, HttpServerSettings.of(settings.host(), settings.port()), this::handle);
    }

    /**
     * Starts a service.
     *
     * @param eventLoops event loops for the connections
     * @param settings how it listens, how fast it is and how it fails
     * @return the running service
     * @throws KingcuproadException if the address can't be bound
     */
    public static ServiceStandIn start(EventLoopGroup eventLoops, ServiceSettings settings)
            throws KingcuproadException {
        return new ServiceStandIn(eventLoops, settings);
    }

    /**
     * Returns the port.
     *
     * @return the TCP port that the service listens on
     */
    public int port() {
        return server.port();
    }

    /**
     * Counts the runs of an order.
     *
     * @param requestId id of the request
     * @return how often the order was placed
     */
    public int runs(String requestId) {
        return runs.getOrDefault(requestId, 0);
    }

    /**
     * Counts all orders.
     *
     * @return orders placed since the start
     */
    public int orders() {
        return orders.get();
    }

    /** Stops listening and closes all connections at once. */
    public void close() {
        server.close();
    }

    private void handle(HttpExchange exchange) {
        String path = exchange.path();
        if (path.equals("/control/runs")) {
            respondRuns(exchange);
        } else if (path.equals("/orders") && exchange.method().equals("POST")) {
            place(exchange);
        } else if (path.startsWith(STOCK_PREFIX) && exchange.method().equals("GET")) {
            String item = path.substring(STOCK_PREFIX.length());
            after(exchange, () -> respondStock(exchange, item));
        } else {
            Problems.respond(exchange, ErrorKind.NOT_FOUND, path, "");
        }
    }

    private void place(HttpExchange exchange) {
        String requestId = exchange.header("X-Request-Id").orElse("");
        int run = runs.merge(requestId, 1, Integer::sum);
        int order = orders.incrementAndGet();
        if (settings.closeBeforeAnswer()) {
            after(exchange, exchange::abort);
            return;
        }
        String answer = MAPPER.createObjectNode()
                .put("order", order)
                .put("requestId", requestId)
                .put("run", run)
                .toString();
        after(exchange, () -> exchange.respondJson(201, answer));
    }

    private void respondStock(HttpExchange exchange, String item) {
        int quantity = Math.floorMod(item.hashCode(), STOCK_RANGE);
        exchange.respondJson(
                200,
                MAPPER.createObjectNode()
                        .put("item", item)
                        .put("quantity", quantity)
                        .toString());
    }

    private void respondRuns(HttpExchange exchange) {
        int count = runs(exchange.queryValue("requestId").orElse(""));
        exchange.respondJson(200, MAPPER.createObjectNode().put("runs", count).toString());
    }

    private void after(HttpExchange exchange, Runnable action) {
        if (settings.processingMs() == 0) {
            action.run();
        } else {
            exchange.eventLoop().schedule(action, settings.processingMs(), TimeUnit.MILLISECONDS);
        }
    }
}
