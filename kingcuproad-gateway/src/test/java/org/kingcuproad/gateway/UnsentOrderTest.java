package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against orders that hold a place of an upstream though they ended before they were sent. */
class UnsentOrderTest {

    private static final int CONNECTIONS = 8;
    private static final int CONNECT_TIMEOUT_MS = 50;

    private final GatewayFixture fixture;
    private final List<Socket> connections = new ArrayList<>();

    UnsentOrderTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        for (Socket connection : connections) {
            connection.close();
        }
        fixture.close();
    }

    /** Fills the accept queue, so that further connections stay unestablished. */
    private void fill(ServerSocket listener) throws IOException {
        for (int index = 0; index < CONNECTIONS; index++) {
            Socket connection = new Socket();
            connections.add(connection);
            try {
                connection.connect(listener.getLocalSocketAddress(), CONNECT_TIMEOUT_MS);
            } catch (IOException full) {
                return;
            }
        }
        throw new IOException("the accept queue is not full after " + CONNECTIONS + " connections");
    }

    @Test
    void holdsNoPlaceForAnOrderWhoseDeadlinePassedWhileItsConnectionWasOpened() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            fixture.addEntry("127.0.0.1", listener.getLocalPort());
            Gateway gateway = fixture.start();
            fill(listener);
            String order = GatewayFixture.postRequest("/NON_IDEMPOTENT/order", "order", "x")
                    .replace("X-Deadline: 2000", "X-Deadline: 200");

            assertThat(fixture.exchange(order).status()).isEqualTo(504);
            CompletableFuture<Integer> inFlight = new CompletableFuture<>();
            gateway.execute(
                    () -> inFlight.complete(gateway.allUpstreams().getFirst().inFlight()));

            assertThat(inFlight.get(5, TimeUnit.SECONDS)).as("places held").isZero();
        }
    }
}
