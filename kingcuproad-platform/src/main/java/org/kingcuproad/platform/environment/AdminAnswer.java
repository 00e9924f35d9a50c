package org.kingcuproad.platform.environment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.kingcuproad.config.json.Mistake;
import org.kingcuproad.model.ErrorKind;

/**
 * A result of the administration API as an HTTP answer.
 *
 * @param status HTTP status code
 * @param contentType media type of the body
 * @param headers further headers
 * @param body the body, as JSON or, for a document, as its text
 */
public record AdminAnswer(int status, String contentType, Map<String, String> headers, String body) {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final String JSON = "application/json";
    private static final String PROBLEM = "application/problem+json";
    private static final String OPERATION_ID = "X-Operation-Id";

    /** Copies the headers, so that the value is immutable. */
    public AdminAnswer {
        headers = Map.copyOf(headers);
    }

    /**
     * Turns a result into an answer.
     *
     * @param result the result
     * @return the answer; a conflict has the members {@code stage}, {@code expectedRevision} and
     *     {@code currentRevision}, an invalid document has {@code mistakes}, and an unavailable store has
     *     {@code maybeApplied}
     */
    public static AdminAnswer of(AdminResult result) {
        return switch (result) {
            case AdminResult.Current current -> document(current);
            case AdminResult.Accepted accepted -> accepted(accepted.revision());
            case AdminResult.Conflict conflict -> conflict(conflict);
            case AdminResult.Invalid invalid -> invalid(invalid);
            case AdminResult.Refused refused -> problem(refused.kind(), body(refused.kind(), refused.detail()));
            case AdminResult.Unavailable unavailable -> unavailable(unavailable);
        };
    }

    private static AdminAnswer document(AdminResult.Current current) {
        Map<String, String> headers = new HashMap<>(entityTag(current.revision()));
        headers.put(OPERATION_ID, current.document().operationId());
        return new AdminAnswer(OK, JSON, headers, new String(current.document().text(), StandardCharsets.UTF_8));
    }

    private static AdminAnswer accepted(long revision) {
        String body = MAPPER.createObjectNode().put("revision", revision).toString();
        return new AdminAnswer(OK, JSON, entityTag(revision), body);
    }

    private static AdminAnswer conflict(AdminResult.Conflict conflict) {
        String detail = "the " + conflict.stage().label() + " stage has revision " + conflict.currentRevision()
                + ", the call names " + conflict.expectedRevision();
        ObjectNode body = body(ErrorKind.CONFLICT, detail)
                .put("stage", conflict.stage().label())
                .put("expectedRevision", conflict.expectedRevision())
                .put("currentRevision", conflict.currentRevision());
        return problem(ErrorKind.CONFLICT, body);
    }

    private static AdminAnswer invalid(AdminResult.Invalid invalid) {
        ObjectNode body = body(ErrorKind.DOCUMENT_INVALID, ErrorKind.DOCUMENT_INVALID.meaning());
        ArrayNode mistakes = body.putArray("mistakes");
        for (Mistake mistake : invalid.mistakes()) {
            mistakes.addObject()
                    .put("path", mistake.path())
                    .put("expected", mistake.expected())
                    .put("found", mistake.found());
        }
        return problem(ErrorKind.DOCUMENT_INVALID, body);
    }

    private static AdminAnswer unavailable(AdminResult.Unavailable unavailable) {
        ObjectNode body =
                body(ErrorKind.STORE_UNAVAILABLE, unavailable.detail()).put("maybeApplied", unavailable.maybeApplied());
        if (unavailable.maybeApplied()) {
            body.put("execution", "unknown");
        }
        return problem(ErrorKind.STORE_UNAVAILABLE, body);
    }

    private static AdminAnswer problem(ErrorKind kind, ObjectNode body) {
        return new AdminAnswer(kind.httpStatus(), PROBLEM, Map.of(), body.toString());
    }

    private static ObjectNode body(ErrorKind kind, String detail) {
        return MAPPER.createObjectNode()
                .put("type", "about:blank")
                .put("title", kind.meaning())
                .put("status", kind.httpStatus())
                .put("detail", detail)
                .put("kind", kind.label())
                .put("execution", kind.execution().label())
                .put("retryable", kind.retryable())
                .put("requestId", "");
    }

    private static Map<String, String> entityTag(long revision) {
        return Map.of("ETag", '"' + Long.toString(revision) + '"');
    }
}
