package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against giving a caller the answer to another request when an upstream sends an answer twice, late, on a
 * connection that is in use again.
 */
class LateResponseTest {

    private final GatewayFixture fixture;

    LateResponseTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static String answer(String request, String body) {
        return FakeUpstream.response(FakeUpstream.header(request, "X-Request"), 200, GatewayFixture.SEAL, body);
    }

    /** The copy arrives in the same packet as the answer: the connection must not be used again. */
    @Test
    void doesNotReuseAConnectionWithBytesAfterTheAnswer() throws Exception {
        FakeUpstream upstream = fixture.upstream(
                request -> new FakeUpstream.Reply(answer(request, "own").repeat(2), false));
        fixture.start();

        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "r1").body()).isEqualTo("own");
        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "r2").body()).isEqualTo("own");

        assertThat(upstream.connections()).as("connections to the upstream").isEqualTo(2);
    }

    /** The copy arrives when the next request of another caller has been sent on the connection. */
    @Test
    void skipsTheCopyOfAnEarlierAnswer() throws Exception {
        AtomicReference<String> previous = new AtomicReference<>("");
        fixture.upstream(request -> {
            String reply = previous.get() + answer(request, "answer to " + FakeUpstream.header(request, "X-Request"));
            previous.set(answer(request, "answer to " + FakeUpstream.header(request, "X-Request")));
            return new FakeUpstream.Reply(reply, false);
        });
        fixture.start();

        for (int number = 0; number < 10; number++) {
            String id = "r" + number;
            assertThat(fixture.post("/NON_IDEMPOTENT/order", id, "x").body()).isEqualTo("answer to " + id);
        }
    }

    /** A copy without the id of its request can't be attributed, so it must not be passed on. */
    @Test
    void neverPassesOnAnAnswerWithoutAnIdOnAUsedConnection() throws Exception {
        AtomicReference<String> first = new AtomicReference<>("");
        fixture.upstream(request -> {
            if (first.compareAndSet("", "seen")) {
                return GatewayFixture.ok(request, "own");
            }
            return new FakeUpstream.Reply(
                    "HTTP/1.1 200 OK\r\n" + GatewayFixture.SEAL + "Content-Length: 7\r\n\r\nforeign", false);
        });
        fixture.start();

        assertThat(fixture.post("/NON_IDEMPOTENT/order", "r1", "x").body()).isEqualTo("own");
        assertThat(fixture.post("/NON_IDEMPOTENT/order", "r2", "x").status()).isEqualTo(502);
    }
}
