package org.kingcuproad.runtime.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.kingcuproad.model.ErrorKind;

/** Answers in the form of {@code application/problem+json} (RFC 9457). */
public final class Problems {

    /** Media type of the answers. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String RETRY_AFTER_SECONDS = "1";

    private Problems() {}

    /**
     * Answers a request with an error.
     *
     * @param exchange the request
     * @param kind kind of the error, which decides the status
     * @param detail what went wrong
     * @param requestId id of the request, or an empty string if it has none yet
     */
    public static void respond(HttpExchange exchange, ErrorKind kind, String detail, String requestId) {
        Map<String, String> headers = kind.retryable() ? Map.of("Retry-After", RETRY_AFTER_SECONDS) : Map.of();
        byte[] body = body(kind, detail, requestId).toString().getBytes(StandardCharsets.UTF_8);
        exchange.respond(kind.httpStatus(), MEDIA_TYPE, headers, body);
    }

    /**
     * Builds the body of an error answer.
     *
     * @param kind kind of the error
     * @param detail what went wrong
     * @param requestId id of the request, or an empty string if it has none yet
     * @return the body, to which members may be added
     */
    public static ObjectNode body(ErrorKind kind, String detail, String requestId) {
        return MAPPER.createObjectNode()
                .put("type", "about:blank")
                .put("title", kind.meaning())
                .put("status", kind.httpStatus())
                .put("detail", detail)
                .put("kind", kind.label())
                .put("execution", kind.execution().label())
                .put("retryable", kind.retryable())
                .put("requestId", requestId);
    }
}
