package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against serving a connection that is older than the configuration with the default limits. */
class OpenConnectionLimitsTest {

    private static final int MAX_BODY_BYTES = 10_000;
    private static final int MAX_HEADER_BYTES = 8_192;
    private static final int MAX_LARGE_HEADER_BYTES = 32_768;
    private static final int MAX_SMALL_HEADER_BYTES = 1_024;

    /** Time in which the gateway learns of a change, two watches of the fake store. */
    private static final long WATCH_MS = 1_500;

    private static final int TIMEOUT_MS = 3_000;

    private final GatewayFixture fixture;

    OpenConnectionLimitsTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private Socket openBeforeTheConfiguration() throws Exception {
        fixture.delayConfiguration();
        fixture.upstream(request -> GatewayFixture.ok(request, "stock"));
        fixture.create().start();
        Socket socket = openWhenListening();
        socket.setSoTimeout(TIMEOUT_MS);
        // The response shows that the gateway has accepted the connection and has no configuration yet.
        send(socket, request("early", 0));
        assertThat(RawResponse.readMessage(socket.getInputStream()).status()).isEqualTo(503);
        return socket;
    }

    private Socket openWhenListening() throws Exception {
        for (int attempt = 0; attempt < 500; attempt++) {
            try {
                return fixture.open();
            } catch (IOException notListening) {
                Thread.sleep(10);
            }
        }
        throw new AssertionError("the gateway does not listen");
    }

    private static void send(Socket socket, String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.UTF_8));
    }

    private static String request(String id, int paddingBytes) {
        return "GET /IDEMPOTENT/a HTTP/1.1\r\nHost: office.example\r\nX-Request: " + id
                + "\r\nX-Key: k1\r\nX-Deadline: 2000\r\nX-Padding: " + "p".repeat(paddingBytes) + "\r\n\r\n";
    }

    private static String post(int bodyBytes) {
        return "POST /NON_IDEMPOTENT/a HTTP/1.1\r\nHost: office.example\r\nX-Request: large\r\nX-Key: k1\r\n"
                + "X-Deadline: 2000\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "b".repeat(bodyBytes);
    }

    @Test
    void limitsTheHeadersOfTheNextRequest() throws Exception {
        try (Socket socket = openBeforeTheConfiguration()) {
            fixture.awaitReady();
            send(socket, request("large", MAX_HEADER_BYTES + 1_000));

            assertThat(RawResponse.readMessage(socket.getInputStream()).status())
                    .isEqualTo(431);
        }
    }

    @Test
    void limitsTheBodyOfTheNextRequest() throws Exception {
        try (Socket socket = openBeforeTheConfiguration()) {
            fixture.awaitReady();
            send(socket, post(MAX_BODY_BYTES + 1));

            assertThat(RawResponse.readMessage(socket.getInputStream()).status())
                    .isEqualTo(413);
        }
    }

    @Test
    void limitsTheTimeForTheHeadersOfTheNextRequest() throws Exception {
        try (Socket socket = openBeforeTheConfiguration()) {
            fixture.awaitReady();
            send(socket, "GET /IDEMPOTENT/a HTTP/1.1\r\n");

            assertThat(RawResponse.readMessage(socket.getInputStream()).status())
                    .isEqualTo(408);
        }
    }

    @Test
    void limitsTheTimeWithoutARequest() throws Exception {
        fixture.setIdleTimeoutMs(1_000);
        try (Socket socket = openBeforeTheConfiguration()) {
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    void allowsTheNextRequestTheLargerHeadersOfTheConfiguration() throws Exception {
        fixture.setMaxHeaderBytes(MAX_LARGE_HEADER_BYTES);
        try (Socket socket = openBeforeTheConfiguration()) {
            fixture.awaitReady();
            send(socket, request("large", MAX_LARGE_HEADER_BYTES - 1_000));

            assertThat(RawResponse.readMessage(socket.getInputStream()).body()).isEqualTo("stock");
        }
    }

    @Test
    void appliesTheLimitsOfALaterConfiguration() throws Exception {
        try (Socket socket = openBeforeTheConfiguration()) {
            fixture.awaitReady();
            send(socket, request("before", 100));
            assertThat(RawResponse.readMessage(socket.getInputStream()).body()).isEqualTo("stock");
            fixture.setMaxHeaderBytes(MAX_SMALL_HEADER_BYTES);
            fixture.publishLimits();
            Thread.sleep(WATCH_MS);
            send(socket, request("after", MAX_SMALL_HEADER_BYTES + 100));

            assertThat(RawResponse.readMessage(socket.getInputStream()).status())
                    .isEqualTo(431);
        }
    }

    /** The bytes that arrived before the configuration belong to no complete line and are decoded after it. */
    @Test
    void servesARequestWhoseFirstBytesArrivedBeforeTheConfiguration() throws Exception {
        try (Socket socket = openBeforeTheConfiguration()) {
            String request = request("split", 100);
            send(socket, request.substring(0, 10));
            fixture.awaitReady();
            send(socket, request.substring(10));

            assertThat(RawResponse.readMessage(socket.getInputStream()).body()).isEqualTo("stock");
        }
    }

    @Test
    void servesARequestWhoseHeadersWereHalfReadBeforeTheConfiguration() throws Exception {
        try (Socket socket = openBeforeTheConfiguration()) {
            String request = request("split", 100);
            int half = request.indexOf("X-Key");
            send(socket, request.substring(0, half));
            fixture.awaitReady();
            send(socket, request.substring(half));

            assertThat(RawResponse.readMessage(socket.getInputStream()).body()).isEqualTo("stock");
        }
    }
}
