package org.kingcuproad.platform.environment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.Stage;

/**
 * Maps the HTTP calls below {@code /admin/v1/environments/} to {@link EnvironmentAdmin}. The HTTP server checks the
 * operator's credential before it calls this class.
 *
 * <ul>
 *   <li>{@code GET /admin/v1/environments/{env}/{trial|production}}
 *   <li>{@code PUT /admin/v1/environments/{env}/trial} with {@code If-Match: "<revision>"} or {@code If-None-Match: *},
 *       and {@code X-Operation-Id}
 *   <li>{@code POST /admin/v1/environments/{env}/promote} with {@code trialRevision}, {@code productionRevision} and
 *       {@code operationId}
 * </ul>
 */
public final class AdminRoutes {

    /** Prefix of the paths that this class answers. */
    public static final String PREFIX = "/admin/v1/environments/";

    /** Largest request body, in bytes. An HTTP server with a lower limit refuses documents of the two-year size. */
    public static final int MAX_BODY_BYTES = StoredDocument.MAX_TEXT_BYTES;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final EnvironmentAdmin admin;

    /**
     * Creates the routes.
     *
     * @param admin carries out the calls
     */
    public AdminRoutes(EnvironmentAdmin admin) {
        this.admin = admin;
    }

    /**
     * Answers a call.
     *
     * @param method HTTP method in upper case
     * @param path path of the call, which starts with {@link #PREFIX}
     * @param header finds a request header by name
     * @param body the request body
     * @return the answer, on the event loop of the store's client
     */
    public CompletableFuture<AdminAnswer> answer(
            String method, String path, Function<String, Optional<String>> header, byte[] body) {
        return call(method, path, header, body).thenApply(AdminAnswer::of);
    }

    private CompletableFuture<AdminResult> call(
            String method, String path, Function<String, Optional<String>> header, byte[] body) {
        List<String> parts = List.of(path.substring(PREFIX.length()).split("/", -1));
        if (parts.size() != 2) {
            return refused(ErrorKind.NOT_FOUND, "no such path");
        }
        String environment = parts.get(0);
        Optional<Stage> stage = Arrays.stream(Stage.values())
                .filter(candidate -> candidate.label().equals(parts.get(1)))
                .findFirst();
        return switch (method + " " + parts.get(1)) {
            case "GET trial", "GET production" -> admin.read(environment, stage.orElseThrow());
            case "PUT trial" -> putTrial(environment, header, body);
            case "POST promote" -> promote(environment, body);
            case "PUT production" -> refused(ErrorKind.BAD_REQUEST, "production changes only by promote");
            default -> refused(ErrorKind.NOT_FOUND, "no such path or method");
        };
    }

    private CompletableFuture<AdminResult> putTrial(
            String environment, Function<String, Optional<String>> header, byte[] body) {
        OptionalLong expected = expectedRevision(header);
        if (expected.isEmpty()) {
            return refused(
                    ErrorKind.BAD_REQUEST, "the call needs If-Match with the edited revision, or If-None-Match: *");
        }
        String operationId = header.apply("X-Operation-Id").orElse("");
        return admin.putTrial(environment, body, expected.getAsLong(), operationId);
    }

    private CompletableFuture<AdminResult> promote(String environment, byte[] body) {
        try {
            JsonNode call = MAPPER.readTree(body);
            JsonNode trial = call.path("trialRevision");
            JsonNode production = call.path("productionRevision");
            JsonNode operationId = call.path("operationId");
            if (trial.isIntegralNumber() && production.isIntegralNumber() && operationId.isTextual()) {
                return admin.promote(environment, trial.longValue(), production.longValue(), operationId.textValue());
            }
        } catch (IOException malformed) {
            return refused(ErrorKind.BAD_REQUEST, "the body is no JSON");
        }
        return refused(ErrorKind.BAD_REQUEST, "the body needs trialRevision, productionRevision and operationId");
    }

    private static OptionalLong expectedRevision(Function<String, Optional<String>> header) {
        Optional<String> ifMatch = header.apply("If-Match");
        if (ifMatch.isEmpty()) {
            return header.apply("If-None-Match").equals(Optional.of("*")) ? OptionalLong.of(0) : OptionalLong.empty();
        }
        try {
            long revision = Long.parseLong(ifMatch.get().replace("\"", ""));
            return revision > 0 ? OptionalLong.of(revision) : OptionalLong.empty();
        } catch (NumberFormatException malformed) {
            return OptionalLong.empty();
        }
    }

    private static CompletableFuture<AdminResult> refused(ErrorKind kind, String detail) {
        return CompletableFuture.completedFuture(new AdminResult.Refused(kind, detail));
    }
}
