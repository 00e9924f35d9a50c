package org.kingcuproad.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.kingcuproad.emulator.engine.ChatText;
import org.kingcuproad.emulator.engine.EngineSettings;
import org.kingcuproad.emulator.service.ServiceSettings;

/** Guards against callers that get a partial response, another caller's, or none. */
class EndToEndTest {

    private static final int READY_ATTEMPTS = 200;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final LocalSystem system = new LocalSystem();

    @BeforeEach
    void start() throws Exception {
        EngineSettings engine = EngineSettings.of(LocalSystem.HOST, 0).withSpeed(2, 1);
        system.withEngine(engine)
                .withEngine(engine)
                .withService(ServiceSettings.of(LocalSystem.HOST, 0))
                .withEntry("entry-1");
        awaitServing();
    }

    @AfterEach
    void stop() {
        system.close();
    }

    @Test
    void plainCompletionArrivesWhole() throws Exception {
        HttpResponse<String> response = chat(20, false);
        assertThat(response.statusCode()).isEqualTo(200);
        String id = response.headers().firstValue("x-request-id").orElseThrow();
        assertThat(response.body()).isEqualTo(ChatText.plainBody(id, "refill-drafter", 20));
    }

    @Test
    void interleavedStreamsArriveWholeAtTheirOwnCaller() {
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            responses.add(client.sendAsync(chatRequest(30, true), HttpResponse.BodyHandlers.ofString()));
        }
        responses.stream().map(CompletableFuture::join).forEach(response -> {
            assertThat(response.statusCode()).isEqualTo(200);
            String id = response.headers().firstValue("x-request-id").orElseThrow();
            assertThat(response.body()).isEqualTo(ChatText.streamedBody(id, "refill-drafter", 30));
        });
    }

    @Test
    void orderRunsOnce() throws Exception {
        HttpResponse<String> response = send(request("/orders")
                .POST(HttpRequest.BodyPublishers.ofString("{\"item\":\"padded-envelope\"}"))
                .build());
        assertThat(response.statusCode()).isEqualTo(201);
        String id = response.headers().firstValue("x-request-id").orElseThrow();
        assertThat(system.services.get(0).runs(id)).isEqualTo(1);
    }

    @Test
    void unknownCredentialIsRefused() throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri("/stock/padded-envelope"))
                .header("Authorization", "Bearer wrong")
                .build();
        HttpResponse<String> response = send(request);
        assertThat(response.statusCode()).isEqualTo(401);
        assertThat(response.body()).contains("\"kind\":\"unauthenticated\"", "\"execution\":\"not-run\"");
    }

    @Test
    void unknownRouteIsRefused() throws Exception {
        HttpResponse<String> response = send(request("/nothing").build());
        assertThat(response.statusCode()).isEqualTo(404);
        assertThat(response.body()).contains("\"kind\":\"not-found\"");
    }

    private void awaitServing() throws Exception {
        for (int i = 0; i < READY_ATTEMPTS; i++) {
            boolean model = chat(1, false).statusCode() == 200;
            boolean service = send(request("/stock/padded-envelope").build()).statusCode() == 200;
            if (model && service) {
                return;
            }
            Thread.sleep(50);
        }
        throw new AssertionError("the entry did not begin to serve");
    }

    private HttpResponse<String> chat(int tokens, boolean stream) throws Exception {
        return send(chatRequest(tokens, stream));
    }

    private HttpRequest chatRequest(int tokens, boolean stream) {
        String body = """
                {"model":"refill-drafter","messages":[{"role":"user","content":"Draft a refill summary"}],
                 "max_tokens":%d,"stream":%b}""".formatted(tokens, stream);
        return request("/v1/chat/completions")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(uri(path))
                .timeout(Duration.ofSeconds(30))
                .header("Authorization", "Bearer secret");
    }

    private URI uri(String path) {
        return URI.create(
                "http://" + LocalSystem.HOST + ":" + system.entries.get(0).callerPort() + path);
    }

    private HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
