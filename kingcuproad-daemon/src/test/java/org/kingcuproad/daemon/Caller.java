package org.kingcuproad.daemon;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.kingcuproad.entry.Entry;

/** A caller of an entry with the test workspace's credential. */
final class Caller {

    private static final int READY_ATTEMPTS = 200;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final int port;

    Caller(Entry entry) {
        this.port = entry.callerPort();
    }

    CompletableFuture<HttpResponse<String>> chat(int tokens, boolean stream) {
        return send(chatRequest(tokens, stream));
    }

    HttpRequest.Builder chatRequest(int tokens, boolean stream) {
        String body = """
                {"model":"refill-drafter","messages":[{"role":"user","content":"Draft a refill summary"}],
                 "max_tokens":%d,"stream":%b}""".formatted(tokens, stream);
        return request("/v1/chat/completions").POST(HttpRequest.BodyPublishers.ofString(body));
    }

    CompletableFuture<HttpResponse<String>> order(String key) {
        HttpRequest.Builder request =
                request("/orders").POST(HttpRequest.BodyPublishers.ofString("{\"item\":\"padded-envelope\"}"));
        return send(key.isEmpty() ? request : request.header("Idempotency-Key", key));
    }

    CompletableFuture<String> boundKey(String path) {
        HttpRequest.Builder request =
                request("/v1/idempotency-keys?method=POST&path=" + path).POST(HttpRequest.BodyPublishers.noBody());
        return send(request).thenApply(response -> response.body().replaceAll(".*:\"(kb1[^\"]*)\".*", "$1"));
    }

    CompletableFuture<HttpResponse<String>> stock() {
        return send(request("/stock/padded-envelope"));
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + LocalSystem.HOST + ":" + port + path))
                .timeout(Duration.ofSeconds(60))
                .header("Authorization", "Bearer secret");
    }

    CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder request) {
        return client.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    /** Waits until the entry serves a kind of request. */
    void awaitServing(Supplier<CompletableFuture<HttpResponse<String>>> probe) throws InterruptedException {
        for (int i = 0; i < READY_ATTEMPTS; i++) {
            if (probe.get().join().statusCode() == 200) {
                return;
            }
            Thread.sleep(50);
        }
        throw new AssertionError("the entry did not begin to serve");
    }
}
