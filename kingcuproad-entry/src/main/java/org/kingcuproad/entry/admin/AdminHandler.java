package org.kingcuproad.entry.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.kingcuproad.entry.document.DocumentInForce;
import org.kingcuproad.entry.link.UpstreamStatus;
import org.kingcuproad.entry.request.Authenticator;
import org.kingcuproad.entry.request.Selection;
import org.kingcuproad.entry.request.Target;
import org.kingcuproad.entry.request.TargetResolver;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.platform.environment.AdminAnswer;
import org.kingcuproad.platform.environment.AdminRoutes;
import org.kingcuproad.runtime.http.HttpExchange;
import org.kingcuproad.runtime.http.HttpHandler;
import org.kingcuproad.runtime.http.Problems;

/** Serves the administration API: environment documents, status and explanations of routing decisions. */
public final class AdminHandler implements HttpHandler {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;

    private final EntryView entry;
    private final AdminRoutes documentRoutes;
    private final LongSupplier clockNs;

    /**
     * Creates the handler.
     *
     * @param entry view of the entry whose state is served
     * @param documentRoutes puts documents on trial and promotes them
     * @param clockNs monotonic clock, in nanoseconds
     */
    public AdminHandler(EntryView entry, AdminRoutes documentRoutes, LongSupplier clockNs) {
        this.entry = entry;
        this.documentRoutes = documentRoutes;
        this.clockNs = clockNs;
    }

    @Override
    public void handle(HttpExchange exchange) {
        String authorization = exchange.header("authorization").orElse("");
        if (!Authenticator.matches(authorization, entry.settings().adminCredentialSha256())) {
            Problems.respond(exchange, ErrorKind.UNAUTHENTICATED, "a valid operator credential is required", "");
            return;
        }
        try {
            route(exchange);
        } catch (KingcuproadException failure) {
            Problems.respond(exchange, failure.kind(), failure.detail(), "");
        }
    }

    private void route(HttpExchange exchange) throws KingcuproadException {
        if (exchange.path().startsWith(AdminRoutes.PREFIX)) {
            documentRoutes
                    .answer(exchange.method(), exchange.path(), exchange::header, exchange.body())
                    .thenAccept(answer -> respond(exchange, answer));
            return;
        }
        switch (exchange.path()) {
            case "/admin/v1/status" -> exchange.respondJson(OK, status().toString());
            case "/admin/v1/explain" ->
                exchange.respondJson(OK, explain(exchange).toString());
            default -> throw new KingcuproadException(ErrorKind.NOT_FOUND, "no such path: " + exchange.path());
        }
    }

    private static void respond(HttpExchange exchange, AdminAnswer answer) {
        byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
        exchange.respond(answer.status(), answer.contentType(), answer.headers(), body);
    }

    private ObjectNode status() {
        ObjectNode status = MAPPER.createObjectNode();
        status.put("name", entry.settings().name());
        status.put("dataCentre", entry.settings().dataCentre());
        status.put("environment", entry.settings().environment());
        status.put("stage", entry.settings().stage().label());
        status.put("revision", revision());
        status.put("draining", entry.draining());
        status.put("requestsInProgress", entry.requestsInProgress());
        ArrayNode upstreams = status.putArray("upstreams");
        entry.upstreams().forEach(upstream -> upstreams.add(status(upstream)));
        return status;
    }

    private ObjectNode status(UpstreamStatus upstream) {
        long ageMs = TimeUnit.NANOSECONDS.toMillis(clockNs.getAsLong() - upstream.lastReportNs());
        return MAPPER.createObjectNode()
                .put("name", upstream.upstream())
                .put("incarnation", Long.toUnsignedString(upstream.incarnation()))
                .put("revision", upstream.revision())
                .put("inFlight", upstream.inFlight())
                .put("leaving", upstream.leaving())
                .put("failure", upstream.failure())
                .put("reportAgeMs", ageMs);
    }

    private long revision() {
        return entry.document().map(current -> current.versioned().revision()).orElse(0L);
    }

    private ObjectNode explain(HttpExchange exchange) throws KingcuproadException {
        DocumentInForce current = entry.document()
                .orElseThrow(() -> new KingcuproadException(ErrorKind.NOT_FOUND, "no environment document in force"));
        EnvironmentDocument document = current.versioned().document();
        String idempotencyKey = exchange.queryValue("idempotencyKey").orElse("");
        Target target = target(document, exchange);
        Selection selection =
                entry.explain(target, exchange.queryValue("workspace").orElse(""), idempotencyKey);
        ObjectNode explanation = MAPPER.createObjectNode();
        explanation.put("revision", revision());
        explanation.put("target", target.name());
        explanation.put("idempotent", target.idempotent());
        explanation.put("deadlineMs", target.deadlineMs());
        explanation.put("firstByteLimitMs", target.firstByteLimitMs());
        addSelection(selection, explanation);
        return explanation;
    }

    private static Target target(EnvironmentDocument document, HttpExchange exchange) throws KingcuproadException {
        String model = exchange.queryValue("model").orElse("");
        if (model.isEmpty()) {
            String method = exchange.queryValue("method").orElse("GET");
            return TargetResolver.resolve(
                    document, method, exchange.queryValue("path").orElse("/"), new byte[0]);
        }
        byte[] body = MAPPER.createObjectNode()
                .put("model", model)
                .set("messages", MAPPER.createArrayNode())
                .toString()
                .getBytes(StandardCharsets.UTF_8);
        return TargetResolver.resolve(document, "POST", TargetResolver.CHAT_COMPLETIONS, body);
    }

    private static void addSelection(Selection selection, ObjectNode explanation) {
        switch (selection) {
            case Selection.Selected selected ->
                explanation.put("upstream", selected.upstream()).put("reason", selected.reason());
            case Selection.Saturated saturated ->
                explanation.put("reason", "every upstream has reached its concurrency limit");
            case Selection.None none -> explanation.put("reason", none.reason());
        }
    }
}
