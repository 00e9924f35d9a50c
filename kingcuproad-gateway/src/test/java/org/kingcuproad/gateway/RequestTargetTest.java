package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a path or query that reaches the upstream as other bytes than the client sent. */
class RequestTargetTest {

    private final GatewayFixture fixture;

    RequestTargetTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/IDEMPOTENT/\u0142", "/IDEMPOTENT/a?b=\u00e9", "/IDEMPOTENT/a%C5%82?x=1", "/IDEMPOTENT/?"})
    void passesTheTargetOn(String target) throws Exception {
        FakeUpstream upstream = fixture.upstream(request -> GatewayFixture.ok(request, "done"));
        fixture.start();

        assertThat(fixture.get(target, "k1", "r1").status()).isEqualTo(200);

        assertThat(upstream.requests().getFirst()).startsWith("GET " + target + " HTTP/1.1\r\n");
    }

    /** As above with bytes that aren't UTF-8. */
    @ParameterizedTest
    @ValueSource(strings = {"/IDEMPOTENT/\u00e9", "/IDEMPOTENT/a?\u00ff=\u0080"})
    void passesOnBytesThatAreNotUtf8(String target) throws Exception {
        try (ServerSocket upstream = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            fixture.addEntry("127.0.0.1", upstream.getLocalPort());
            fixture.start();
            try (Socket client = fixture.open()) {
                client.getOutputStream()
                        .write(GatewayFixture.getRequest(target, "k1", "r1").getBytes(StandardCharsets.ISO_8859_1));
                try (Socket accepted = upstream.accept()) {
                    String line = new BufferedReader(
                                    new InputStreamReader(accepted.getInputStream(), StandardCharsets.ISO_8859_1))
                            .readLine();

                    assertThat(line).isEqualTo("GET " + target + " HTTP/1.1");
                }
            }
        }
    }
}
