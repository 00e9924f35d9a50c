package org.kingcuproad.runtime.http;

import com.codahale.metrics.MetricRegistry;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Supplier;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.runtime.metrics.MetricsJson;

/** Answers {@code /livez}, {@code /readyz} and {@code /metrics}, and passes other paths on. */
public final class OperationsHandler implements HttpHandler {

    private static final String TEXT = "text/plain; charset=utf-8";

    private final MetricRegistry metrics;
    private final Supplier<Optional<String>> unreadyReason;
    private final HttpHandler next;

    /**
     * Creates the handler.
     *
     * @param metrics the metrics of the process
     * @param unreadyReason gives why the process can't serve now, or empty if it can
     * @param next answers all other paths
     */
    public OperationsHandler(MetricRegistry metrics, Supplier<Optional<String>> unreadyReason, HttpHandler next) {
        this.metrics = metrics;
        this.unreadyReason = unreadyReason;
        this.next = next;
    }

    /**
     * Creates a handler that answers all other paths with 404.
     *
     * @param metrics the metrics of the process
     * @param unreadyReason gives why the process can't serve now, or empty if it can
     * @return the handler
     */
    public static OperationsHandler standalone(MetricRegistry metrics, Supplier<Optional<String>> unreadyReason) {
        return new OperationsHandler(metrics, unreadyReason, exchange -> {
            Problems.respond(exchange, ErrorKind.NOT_FOUND, "no such path: " + exchange.path(), "");
        });
    }

    @Override
    public void handle(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/livez" -> respondText(exchange, 200, "live");
            case "/readyz" -> respondReadiness(exchange);
            case "/metrics" -> exchange.respondJson(200, MetricsJson.render(metrics));
            default -> next.handle(exchange);
        }
    }

    private void respondReadiness(HttpExchange exchange) {
        Optional<String> reason = unreadyReason.get();
        respondText(exchange, reason.isPresent() ? 503 : 200, reason.orElse("ready"));
    }

    private static void respondText(HttpExchange exchange, int status, String text) {
        exchange.respond(status, TEXT, (text + "\n").getBytes(StandardCharsets.UTF_8));
    }
}
