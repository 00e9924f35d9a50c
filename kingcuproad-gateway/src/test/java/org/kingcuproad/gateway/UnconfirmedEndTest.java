package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against taking a response that was cut off by an orderly end of its connection for a whole one. */
class UnconfirmedEndTest {

    private static final String WHOLE = "whole body";
    private static final String PART = "whole ";
    private static final String TERMINATOR = "0\r\n\r\n";
    private static final int BAD_GATEWAY = 502;
    private static final int OK = 200;

    private final GatewayFixture fixture;

    UnconfirmedEndTest() throws IOException {
        fixture = new GatewayFixture();
        // No lookup is taken for stalled.
        fixture.setLatencyGoalMs(10_000);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static void writeHead(String request, StreamingUpstream.Output output, int status, String type)
            throws IOException {
        output.write("HTTP/1.1 " + status + " X\r\nX-Request: " + FakeUpstream.header(request, "X-Request") + "\r\n"
                + GatewayFixture.SEAL + "Content-Type: " + type + "\r\n\r\n");
    }

    private static String event(int id) {
        return "id: " + id + "\ndata: e\n\n";
    }

    private static int nextId(String request) {
        String lastEventId = FakeUpstream.header(request, "Last-Event-Id");
        return lastEventId.isEmpty() ? 1 : Integer.parseInt(lastEventId) + 1;
    }

    /** Answers with a body that ends with its connection. The upstream goes on listening. */
    private static StreamingUpstream.Script body(int status, String type, String body) {
        return (request, output) -> {
            writeHead(request, output, status, type);
            output.write(body);
            throw new EOFException("end of the connection");
        };
    }

    /** Sends the events that are missing up to an id, and ends the connection. */
    private static StreamingUpstream.Script stream(int lastId) {
        return (request, output) -> {
            writeHead(request, output, OK, "text/event-stream");
            for (int id = nextId(request); id <= lastId; id++) {
                output.write(event(id));
            }
            throw new EOFException("end of the connection");
        };
    }

    /** Sends the events that are missing up to an id in chunks, and the last chunk. */
    private static StreamingUpstream.Script chunkedStream(int lastId) {
        return (request, output) -> {
            output.writeStreamHead(request);
            for (int id = nextId(request); id <= lastId; id++) {
                output.writeChunk(event(id));
            }
            output.write(TERMINATOR);
        };
    }

    private String receivedStream() throws IOException {
        return new String(
                fixture.received(GatewayFixture.postRequest("/STREAMING/draft", "r1", "prompt")),
                StandardCharsets.UTF_8);
    }

    private static List<String> ids(String received) {
        return received.lines().filter(line -> line.startsWith("id:")).toList();
    }

    /** The upstream that cuts lookups off answers first; it must not use up the retry budget. */
    @Test
    void asksAnotherUpstreamForALookupThatWasCutOff() throws Exception {
        fixture.streamingUpstream(body(OK, "application/octet-stream", PART));
        fixture.upstream(request -> GatewayFixture.ok(request, WHOLE));
        fixture.start();

        for (int i = 0; i < 8; i++) {
            assertThat(fixture.get("/IDEMPOTENT/a", "k1", "r" + i).body()).isEqualTo(WHOLE);
        }
    }

    @Test
    void answersALookupThatAllUpstreamsCutOffWithAnError() throws Exception {
        fixture.streamingUpstream(body(OK, "application/octet-stream", PART));
        fixture.streamingUpstream(body(OK, "application/octet-stream", PART));
        fixture.start();

        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "r1").status()).isEqualTo(BAD_GATEWAY);
    }

    /** An order can't be asked again, and nobody knows whether its response is whole. */
    @ParameterizedTest
    @ValueSource(ints = {200, 404, 500})
    void answersAnOrderThatWasCutOffWithAnError(int status) throws Exception {
        fixture.streamingUpstream(body(status, "application/octet-stream", PART));
        fixture.start();

        assertThat(fixture.post("/NON_IDEMPOTENT/order", "r1", "order").status())
                .isEqualTo(BAD_GATEWAY);
    }

    /** Without length, the bytes of a second response are no different from those of the body. */
    @Test
    void deliversNoBodyThatASecondResponseFollows() throws Exception {
        fixture.streamingUpstream((request, output) -> {
            writeHead(request, output, OK, "application/json");
            output.write("{\"order\":1}");
            Thread.sleep(40);
            writeHead(request, output, 500, "application/json");
            throw new EOFException("end of the connection");
        });
        fixture.start();

        assertThat(fixture.post("/NON_IDEMPOTENT/order", "r1", "order").status())
                .isEqualTo(BAD_GATEWAY);
    }

    @Test
    void deliversABodyThatShowsItsOwnEnd() throws Exception {
        fixture.streamingUpstream(body(OK, "application/json", "{\"order\":[1,\"}\\\"\"]}\n"));
        fixture.start();

        assertThat(fixture.post("/NON_IDEMPOTENT/order", "r1", "order").body())
                .isEqualTo("{\"order\":[1,\"}\\\"\"]}\n");
    }

    @Test
    void resumesAStreamThatWasCutOffBetweenTwoEvents() throws Exception {
        fixture.streamingUpstream(
                (request, output) -> (nextId(request) == 1 ? stream(2) : chunkedStream(4)).respond(request, output));
        fixture.streamingUpstream(
                (request, output) -> (nextId(request) == 1 ? stream(2) : chunkedStream(4)).respond(request, output));
        fixture.start();

        String received = receivedStream();

        assertThat(ids(received)).containsExactly("id: 1", "id: 2", "id: 3", "id: 4");
        assertThat(received).endsWith(TERMINATOR);
    }

    @Test
    void breaksOffAStreamThatNobodyCanConfirm() throws Exception {
        fixture.streamingUpstream((request, output) -> {
            if (nextId(request) > 1) {
                throw new EOFException("no response");
            }
            stream(2).respond(request, output);
        });
        fixture.start();

        String received = receivedStream();

        assertThat(ids(received)).containsExactly("id: 1", "id: 2");
        assertThat(received).doesNotEndWith(TERMINATOR);
    }

    @Test
    void completesAStreamWhoseOnlyUpstreamConfirmsItsEnd() throws Exception {
        fixture.streamingUpstream(stream(2));
        fixture.start();

        String received = receivedStream();

        assertThat(ids(received)).containsExactly("id: 1", "id: 2");
        assertThat(received).endsWith(TERMINATOR);
    }

    /** Both upstreams are sound; the second one is asked for what follows the last event. */
    @Test
    void completesAStreamWhoseEndAnotherUpstreamConfirms() throws Exception {
        fixture.streamingUpstream(
                (request, output) -> (nextId(request) == 1 ? stream(3) : chunkedStream(3)).respond(request, output));
        fixture.streamingUpstream(
                (request, output) -> (nextId(request) == 1 ? stream(3) : chunkedStream(3)).respond(request, output));
        fixture.start();

        String received = receivedStream();

        assertThat(ids(received)).containsExactly("id: 1", "id: 2", "id: 3");
        assertThat(received).endsWith(TERMINATOR);
    }
}
