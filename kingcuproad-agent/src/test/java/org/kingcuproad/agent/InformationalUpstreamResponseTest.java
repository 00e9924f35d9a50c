package org.kingcuproad.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against taking an informational response for the final one, or for a reason to send the body again. */
class InformationalUpstreamResponseTest {

    private static final String BODY = "order";
    private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    private static final int QUIET_MS = 100;

    private static String readUntilQuiet(Socket connection) throws IOException {
        connection.setSoTimeout(QUIET_MS);
        InputStream input = connection.getInputStream();
        StringBuilder text = new StringBuilder();
        try {
            for (int next = input.read(); next >= 0; next = input.read()) {
                text.append((char) next);
            }
        } catch (SocketTimeoutException quiet) {
            connection.setSoTimeout(0);
        }
        return text.toString();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n",
                "HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\nHTTP/1.1 100\r\n\r\n"
            })
    void isPassedOver(String informational) throws Exception {
        CompletableFuture<String> received = new CompletableFuture<>();
        try (ScriptedUpstream upstream = new ScriptedUpstream((number, request, connection) -> {
            ScriptedUpstream.write(connection, informational);
            received.complete(readUntilQuiet(connection));
            ScriptedUpstream.write(connection, OK);
            return true;
        })) {
            Agent agent = upstream.startAgent();
            try (ExecuteClient client = new ExecuteClient(agent.port())
                    .send(ExecuteClient.dispatch("r-1", AgentFixture.INCARNATION, "POST", "/order", BODY))) {
                ResponseReader reader = new ResponseReader().readAll(client);

                assertThat(received.get(1, TimeUnit.SECONDS)).isEqualTo(BODY);
                assertThat(reader.status()).isEqualTo(200);
                assertThat(reader.text()).isEqualTo("body");
            } finally {
                agent.close();
            }
        }
    }
}
