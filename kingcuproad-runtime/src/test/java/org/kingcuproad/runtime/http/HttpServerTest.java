package org.kingcuproad.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.nio.NioEventLoopGroup;
import java.net.ConnectException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a server that answers only one request of a connection, never finishes draining, or listens on. */
class HttpServerTest {

    private static final long BUSY_NS = TimeUnit.MILLISECONDS.toNanos(300);

    @ParameterizedTest
    @EnumSource(HttpClient.Version.class)
    void answersSeveralRequestsOfOneConnection(HttpClient.Version version) throws Exception {
        NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
        HttpServer server = HttpServer.start(
                eventLoops, HttpServerSettings.of("127.0.0.1", 0), exchange -> exchange.respondJson(200, "{}"));
        try (HttpClient client = HttpClient.newBuilder().version(version).build()) {
            URI uri = URI.create("http://127.0.0.1:" + server.port() + "/");
            HttpRequest request =
                    HttpRequest.newBuilder(uri).timeout(Duration.ofSeconds(10)).build();
            for (int count = 0; count < 3; count++) {
                assertThat(client.send(request, HttpResponse.BodyHandlers.ofString())
                                .statusCode())
                        .isEqualTo(200);
            }
            server.drain().get(10, TimeUnit.SECONDS);
            assertThat(server.requestsInProgress()).isZero();
        } finally {
            server.close();
            eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** A caller that still gets a connection after the close cannot tell that its request was not read. */
    @RepeatedTest(10)
    void refusesConnectionsOnceItIsClosed() throws Exception {
        NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);
        HttpServer server = HttpServer.start(
                eventLoops, HttpServerSettings.of("127.0.0.1", 0), exchange -> exchange.respondJson(200, "{}"));
        int port = server.port();
        try {
            eventLoops.execute(() -> LockSupport.parkNanos(BUSY_NS));

            server.close();

            assertThatThrownBy(() -> new Socket("127.0.0.1", port).close()).isInstanceOf(ConnectException.class);
        } finally {
            eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
