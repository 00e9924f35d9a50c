package org.kingcuproad.entry.request;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.kingcuproad.entry.document.DocumentInForce;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.model.Workspace;
import org.kingcuproad.policy.claim.BoundKey;
import org.kingcuproad.runtime.http.HttpExchange;
import org.kingcuproad.runtime.http.HttpHandler;
import org.kingcuproad.runtime.http.Problems;
import org.kingcuproad.runtime.trace.Tracing;

/** Admits callers' requests after checking their credential, target and size, and issues bound idempotency keys. */
public final class CallerHandler implements HttpHandler {

    private static final String IDEMPOTENCY_KEYS_PATH = "/v1/idempotency-keys";
    private static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";
    private static final int CREATED = 201;
    private static final int MAX_KEY_CHARS = 255;

    private final Supplier<Optional<DocumentInForce>> document;
    private final ActiveRequests requests;
    private final Tracing tracing;
    private final LongSupplier clockNs;
    private final SecureRandom random = new SecureRandom();

    /**
     * Creates the handler.
     *
     * @param document supplies the environment document in force
     * @param requests runs admitted requests
     * @param tracing starts spans
     * @param clockNs monotonic clock, in nanoseconds
     */
    public CallerHandler(
            Supplier<Optional<DocumentInForce>> document,
            ActiveRequests requests,
            Tracing tracing,
            LongSupplier clockNs) {
        this.document = document;
        this.requests = requests;
        this.tracing = tracing;
        this.clockNs = clockNs;
    }

    @Override
    public void handle(HttpExchange exchange) {
        String requestId = UUID.randomUUID().toString();
        try {
            if (exchange.path().equals(IDEMPOTENCY_KEYS_PATH)) {
                issueBoundKey(exchange);
            } else {
                requests.start(admit(exchange, requestId));
            }
        } catch (KingcuproadException failure) {
            Problems.respond(exchange, failure.kind(), failure.detail(), requestId);
        }
    }

    /**
     * Responds to {@code POST /v1/idempotency-keys?method=POST&path=/orders} with a bound idempotency key for such a
     * request.
     */
    private void issueBoundKey(HttpExchange exchange) throws KingcuproadException {
        DocumentInForce current = documentInForce();
        Workspace workspace = authenticate(current, exchange);
        String method = exchange.queryValue("method").orElse("POST");
        String path = exchange.queryValue("path").orElse("");
        Target target = TargetResolver.resolve(current.versioned().document(), method, path, exchange.body());
        BoundKey key = requests.createBoundKey(target, workspace.name(), random.nextLong())
                .orElseThrow(() -> new KingcuproadException(
                        ErrorKind.NO_UPSTREAM, "no upstream can accept a request of this kind now"));
        exchange.respondJson(CREATED, "{\"idempotencyKey\":\"" + key.text() + "\"}");
    }

    private DocumentInForce documentInForce() throws KingcuproadException {
        return document.get()
                .orElseThrow(() ->
                        new KingcuproadException(ErrorKind.NO_UPSTREAM, "this entry has no environment document yet"));
    }

    private RequestContext admit(HttpExchange exchange, String requestId) throws KingcuproadException {
        long nowNs = clockNs.getAsLong();
        DocumentInForce current = documentInForce();
        Workspace workspace = authenticate(current, exchange);
        EnvironmentDocument environment = current.versioned().document();
        Target target = TargetResolver.resolve(environment, exchange.method(), exchange.path(), exchange.body());
        checkBodySize(environment, exchange);
        Span span = tracing.start(
                exchange.method() + " " + exchange.path(),
                SpanKind.SERVER,
                exchange.header(Tracing.TRACEPARENT).orElse(""));
        span.setAttribute("requestId", requestId);
        span.setAttribute("workspace", workspace.name());
        return new RequestContext(
                requestId,
                workspace.name(),
                target,
                idempotencyKey(exchange),
                exchange,
                nowNs + TimeUnit.MILLISECONDS.toNanos(target.deadlineMs()),
                nowNs,
                current.versioned().revision(),
                span);
    }

    private static Workspace authenticate(DocumentInForce current, HttpExchange exchange) throws KingcuproadException {
        String authorization = exchange.header("authorization").orElse("");
        return current.authenticator()
                .authenticate(authorization)
                .orElseThrow(() -> new KingcuproadException(
                        ErrorKind.UNAUTHENTICATED, "a valid workspace credential is required"));
    }

    private static void checkBodySize(EnvironmentDocument environment, HttpExchange exchange)
            throws KingcuproadException {
        int limit = environment.limits().maxBodyBytes();
        if (exchange.body().length > limit) {
            throw new KingcuproadException(ErrorKind.BODY_TOO_LARGE, "the limit is " + limit + " bytes");
        }
    }

    private static String idempotencyKey(HttpExchange exchange) throws KingcuproadException {
        String key = exchange.header(IDEMPOTENCY_KEY_HEADER).orElse("");
        if (key.length() > MAX_KEY_CHARS) {
            throw new KingcuproadException(
                    ErrorKind.BAD_REQUEST, "Idempotency-Key is longer than " + MAX_KEY_CHARS + " characters");
        }
        return key;
    }
}
