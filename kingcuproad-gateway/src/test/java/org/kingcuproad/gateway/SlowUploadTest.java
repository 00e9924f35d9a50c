package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against clients that hold a connection by sending a body byte by byte, and against cutting sound ones. */
class SlowUploadTest {

    private static final int BODY_BYTES = 6_000;

    private final GatewayFixture fixture;

    SlowUploadTest() throws IOException {
        fixture = new GatewayFixture();
        fixture.setHeaderTimeoutMs(500);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static byte[] head() {
        return GatewayFixture.postRequest("/NON_IDEMPOTENT/order", "r1", "")
                .replace("Content-Length: 0", "Content-Length: " + BODY_BYTES)
                .getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void refusesABodyThatArrivesByteByByte() throws Exception {
        fixture.upstream(request -> GatewayFixture.ok(request, "done"));
        fixture.start();

        try (Socket socket = fixture.open()) {
            socket.getOutputStream().write(head());
            Thread dripping = new Thread(() -> drip(socket));
            dripping.setDaemon(true);
            dripping.start();

            assertThat(RawResponse.read(socket.getInputStream()).status()).isEqualTo(408);
        }
    }

    private static void drip(Socket socket) {
        try {
            while (true) {
                socket.getOutputStream().write('x');
                Thread.sleep(100);
            }
        } catch (IOException closed) {
            // The gateway has closed the connection.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void acceptsABodyThatArrivesSlowlyButSteadily() throws Exception {
        fixture.upstream(request -> GatewayFixture.ok(request, "done"));
        fixture.start();

        try (Socket socket = fixture.open()) {
            socket.getOutputStream().write(head());
            for (int part = 0; part < 10; part++) {
                socket.getOutputStream().write("x".repeat(BODY_BYTES / 10).getBytes(StandardCharsets.UTF_8));
                Thread.sleep(150);
            }

            assertThat(RawResponse.read(socket.getInputStream()).status()).isEqualTo(200);
        }
    }
}
