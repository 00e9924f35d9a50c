package org.kingcuproad.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.kingcuproad.emulator.engine.ChatText;
import org.kingcuproad.emulator.engine.EngineSettings;
import org.kingcuproad.emulator.service.ServiceSettings;

/** Guards against callers that get a partial response, another caller's, or none. */
class EndToEndTest {

    private final LocalSystem system = new LocalSystem();
    private Caller caller;

    @BeforeEach
    void start() throws Exception {
        EngineSettings engine = EngineSettings.of(LocalSystem.HOST, 0).withSpeed(2, 1);
        system.withEngine(engine)
                .withEngine(engine)
                .withService(ServiceSettings.of(LocalSystem.HOST, 0))
                .withEntry("entry-1");
        caller = new Caller(system.entries.get(0));
        caller.awaitServing(() -> caller.chat(1, false));
        caller.awaitServing(caller::stock);
    }

    @AfterEach
    void stop() {
        system.close();
    }

    @Test
    void plainCompletionArrivesWhole() {
        HttpResponse<String> response = caller.chat(20, false).join();
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo(ChatText.plainBody(id(response), "refill-drafter", 20));
    }

    @Test
    void interleavedStreamsArriveWholeAtTheirOwnCaller() {
        List<CompletableFuture<HttpResponse<String>>> responses =
                IntStream.range(0, 200).mapToObj(i -> caller.chat(30, true)).toList();
        responses.stream().map(CompletableFuture::join).forEach(response -> {
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body()).isEqualTo(ChatText.streamedBody(id(response), "refill-drafter", 30));
        });
    }

    @Test
    void orderRunsOnce() {
        HttpResponse<String> response = caller.order("").join();
        assertThat(response.statusCode()).isEqualTo(201);
        assertThat(system.services.get(0).runs(id(response))).isEqualTo(1);
    }

    @Test
    void clientThatOffersAnUpgradeToHttp2IsServedOverHttp1() throws Exception {
        HttpClient upgrading =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_2).build();
        HttpResponse<String> response =
                upgrading.send(caller.chatRequest(5, false).build(), HttpResponse.BodyHandlers.ofString());
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo(ChatText.plainBody(id(response), "refill-drafter", 5));
    }

    @Test
    void unknownCredentialIsRefused() {
        HttpResponse<String> response = caller.send(
                        caller.request("/stock/padded-envelope").setHeader("Authorization", "Bearer wrong"))
                .join();
        assertThat(response.statusCode()).isEqualTo(401);
        assertThat(response.body()).contains("\"kind\":\"unauthenticated\"", "\"execution\":\"not-run\"");
    }

    @Test
    void unknownRouteIsRefused() {
        HttpResponse<String> response = caller.send(caller.request("/nothing")).join();
        assertThat(response.statusCode()).isEqualTo(404);
        assertThat(response.body()).contains("\"kind\":\"not-found\"");
    }

    private static String id(HttpResponse<String> response) {
        return response.headers().firstValue("x-request-id").orElseThrow();
    }
}
