package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

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

    static Stream<Arguments> copiesOfARejection() {
        String head = "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n";
        return Stream.of(
                Arguments.of("with the id of its request", head + "X-Request: r1\r\nContent-Length: 2\r\n\r\nno"),
                Arguments.of("without an id", head + "Content-Length: 2\r\n\r\nno"),
                Arguments.of("without a body", head + "X-Request: r1\r\nContent-Length: 0\r\n\r\n"),
                Arguments.of("in chunks", head + "X-Request: r1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
                Arguments.of("without a length", head + "X-Request: r1\r\n\r\nno"),
                Arguments.of("of another upstream", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n"),
                Arguments.of(
                        "of an overload",
                        "HTTP/1.1 429 X\r\nX-Not-Run: 1\r\nX-Request: r1\r\nContent-Length: 0\r\n\r\n"));
    }

    /**
     * Guards against a late copy of a rejection that is taken for the answer to the next order on the connection: its
     * caller would send the order again, or the gateway would, though the upstream runs it.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource("copiesOfARejection")
    void takesNoCopyOfARejectionForTheAnswerToAnotherOrder(String form, String copy) throws Exception {
        List<String> runs = new CopyOnWriteArrayList<>();
        StreamingUpstream.Script script = (request, output) -> {
            String id = FakeUpstream.header(request, "X-Request");
            if (id.equals("r1")) {
                output.write("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Request: r1\r\nContent-Length: 2\r\n\r\nno");
                return;
            }
            runs.add(id);
            output.write(copy);
            Thread.sleep(100);
            output.write(answer(request, "answer to " + id));
        };
        fixture.setOrderAttempts(2);
        fixture.streamingUpstream(script);
        fixture.streamingUpstream(script);
        fixture.start();

        assertThat(fixture.post("/NON_IDEMPOTENT/order", "r1", "x").status()).isEqualTo(503);
        // Both upstreams have rejected the first order, so each has a connection on which a copy may follow.
        for (String id : List.of("r2", "r3")) {
            RawResponse response = fixture.post("/NON_IDEMPOTENT/order", id, "x");

            assertThat(response.status()).as(form).isIn(200, 502, 504);
            if (response.status() == 200) {
                assertThat(response.body()).isEqualTo("answer to " + id);
            }
        }
        assertThat(runs).as("orders run").doesNotHaveDuplicates().contains("r2", "r3");
    }
}
