package org.kingcuproad.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against taking a late second response of an upstream for the response to the next request. */
class LateUpstreamResponseTest {

    private static final String FIRST = "/1";
    private static final String SECOND = "/2";
    private static final long BEFORE_THE_RESPONSE_MS = 60;

    /** When the second copy of the first response arrives. */
    enum Copy {
        AFTER_THE_NEXT_REQUEST,
        BODY_AFTER_THE_NEXT_REQUEST,
        WITH_THE_RESPONSE
    }

    private static String response(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Type: text/plain\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    /** Answers the first request twice, and the others once. */
    private static boolean respond(Copy copy, String status, int number, String request, Socket connection)
            throws IOException, InterruptedException {
        String path = request.split(" ", 3)[1];
        String first = response(status, FIRST);
        if (path.equals(FIRST)) {
            String early = switch (copy) {
                case AFTER_THE_NEXT_REQUEST -> "";
                case BODY_AFTER_THE_NEXT_REQUEST -> first.substring(0, first.length() - FIRST.length());
                case WITH_THE_RESPONSE -> first;
            };
            ScriptedUpstream.write(connection, first + early);
            return true;
        }
        if (number > 1) {
            String late = switch (copy) {
                case AFTER_THE_NEXT_REQUEST -> first;
                case BODY_AFTER_THE_NEXT_REQUEST -> FIRST;
                case WITH_THE_RESPONSE -> "";
            };
            ScriptedUpstream.write(connection, late);
            TimeUnit.MILLISECONDS.sleep(BEFORE_THE_RESPONSE_MS);
        }
        ScriptedUpstream.write(connection, response("200 OK", path));
        return true;
    }

    private static ResponseReader read(Agent agent, String path, boolean idempotent) throws Exception {
        try (ExecuteClient client = new ExecuteClient(agent.port())
                .send(ExecuteClient.dispatch("r" + path, AgentFixture.INCARNATION, "POST", path, "")
                        .setIdempotent(idempotent))) {
            return new ResponseReader().readAll(client);
        }
    }

    @ParameterizedTest(name = "{0}, {1}, repeatable {2}")
    @CsvSource({
        "AFTER_THE_NEXT_REQUEST, 200 OK, true",
        "AFTER_THE_NEXT_REQUEST, 200 OK, false",
        "AFTER_THE_NEXT_REQUEST, 429 Too Many Requests, true",
        "AFTER_THE_NEXT_REQUEST, 429 Too Many Requests, false",
        "BODY_AFTER_THE_NEXT_REQUEST, 200 OK, true",
        "BODY_AFTER_THE_NEXT_REQUEST, 200 OK, false",
        "WITH_THE_RESPONSE, 200 OK, true",
        "WITH_THE_RESPONSE, 429 Too Many Requests, false"
    })
    void eachRequestGetsItsOwnResponse(Copy copy, String status, boolean idempotent) throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(
                (number, request, connection) -> respond(copy, status, number, request, connection))) {
            Agent agent = upstream.startAgent();
            try {
                assertThat(read(agent, FIRST, idempotent).text()).isEqualTo(FIRST);

                ResponseReader second = read(agent, SECOND, idempotent);

                assertThat(second.status()).isEqualTo(200);
                assertThat(second.text()).isEqualTo(SECOND);
            } finally {
                agent.close();
            }
        }
    }
}
