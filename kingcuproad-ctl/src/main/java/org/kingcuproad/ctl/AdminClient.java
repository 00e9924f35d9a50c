package org.kingcuproad.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;

/**
 * Calls the administration API of the named entries in turn until one gives a settled answer.
 *
 * <p>Repetitions are safe: reads change nothing, and writes carry an operation id by which the entry recognises them.
 */
final class AdminClient implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int FIRST_ERROR_STATUS = 400;
    private static final long PAUSE_MS = 200;

    /** Longer than the 5 s after which an entry gives up settling a write. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

    private final List<String> entries;
    private final String credential;
    private final int timeoutSeconds;
    private final AsyncHttpClient client;

    AdminClient(List<String> entries, String credential, int timeoutSeconds) {
        this.entries = entries;
        this.credential = credential;
        this.timeoutSeconds = timeoutSeconds;
        this.client = new DefaultAsyncHttpClient(new DefaultAsyncHttpClientConfig.Builder()
                .setIoThreadsCount(1)
                .setRequestTimeout(REQUEST_TIMEOUT)
                .setReadTimeout(REQUEST_TIMEOUT)
                .setMaxRequestRetry(0)
                .setShutdownQuietPeriod(Duration.ZERO)
                .build());
    }

    /** Sends a call and returns the successful answer. Other answers become exceptions with their kind. */
    AdminReply call(AdminCall call) throws KingcuproadException {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
        for (int attempt = 0; ; attempt++) {
            String entry = entries.get(attempt % entries.size());
            try {
                AdminReply reply = send(entry, call);
                if (reply.status() < FIRST_ERROR_STATUS) {
                    return reply;
                }
                KingcuproadException failure = failure(reply);
                if (!isWorthRepeating(failure.kind()) || System.nanoTime() > endNs) {
                    throw failure;
                }
            } catch (ExecutionException failure) {
                if (System.nanoTime() > endNs) {
                    String detail = entry + " does not answer; repeat the call with the same operation id";
                    throw new KingcuproadException(ErrorKind.STORE_UNAVAILABLE, detail, failure);
                }
            }
            pause();
        }
    }

    @Override
    public void close() {
        try {
            client.close();
        } catch (IOException ignored) {
            // The process ends after the command, which closes the sockets as well.
        }
    }

    private AdminReply send(String entry, AdminCall call) throws ExecutionException, KingcuproadException {
        RequestBuilder request = new RequestBuilder(call.method())
                .setUrl(entry + call.path())
                .setHeader("Authorization", "Bearer " + credential)
                .setBody(call.body());
        call.headers().forEach(request::setHeader);
        call.query().forEach(request::addQueryParam);
        try {
            Response response = client.executeRequest(request.build()).get();
            return new AdminReply(
                    response.getStatusCode(),
                    Optional.ofNullable(response.getHeader("ETag")).map(tag -> tag.replace("\"", "")),
                    Optional.ofNullable(response.getHeader("X-Operation-Id")),
                    response.getResponseBody());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new KingcuproadException(ErrorKind.INTERNAL, "interrupted", interrupted);
        }
    }

    private static KingcuproadException failure(AdminReply reply) {
        JsonNode problem = parse(reply.body());
        ErrorKind kind = ErrorKind.ofLabel(problem.path("kind").asText()).orElse(ErrorKind.INTERNAL);
        String detail = problem.path("detail").asText("the entry answered " + reply.status());
        return new AdminCallException(kind, detail, problem.isObject() ? problem.toString() : "{}");
    }

    static JsonNode parse(String json) {
        try {
            return MAPPER.readTree(json);
        } catch (JsonProcessingException noJson) {
            return MissingNode.getInstance();
        }
    }

    private static boolean isWorthRepeating(ErrorKind kind) {
        return kind.retryable();
    }

    private static void pause() throws KingcuproadException {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new KingcuproadException(ErrorKind.INTERNAL, "interrupted", interrupted);
        }
    }
}
