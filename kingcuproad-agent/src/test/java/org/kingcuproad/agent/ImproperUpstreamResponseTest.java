package org.kingcuproad.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.kingcuproad.wire.proto.Failed;

/** Guards against reporting a response as complete that the upstream's bytes don't state. */
class ImproperUpstreamResponseTest {

    private static final String STATUS_LINE = "HTTP/1.1 200 OK";
    private static final String LENGTH = "Content-Length: 4\r\n";
    private static final String OK = STATUS_LINE + "\r\n" + LENGTH + "\r\nbody";
    private static final String CHUNKED_BODY = "\r\n4\r\nbody\r\n0\r\n\r\n";

    private static Arguments line(String name, String statusLine) {
        return Arguments.of(name, OK.replace(STATUS_LINE, statusLine));
    }

    private static Arguments coding(String name, String header) {
        return Arguments.of(name, STATUS_LINE + "\r\n" + header + "\r\n" + CHUNKED_BODY);
    }

    private static Arguments header(String name, String header) {
        return Arguments.of(name, OK.replace(LENGTH, LENGTH + header + "\r\n"));
    }

    static Stream<Arguments> responses() {
        return Stream.of(
                Arguments.of("neither length nor chunks", STATUS_LINE + "\r\n\r\nbody"),
                line("status of four digits", "HTTP/1.1 2000 OK"),
                line("status of two digits", "HTTP/1.1 20 OK"),
                line("status with a sign", "HTTP/1.1 +200 OK"),
                line("status out of range", "HTTP/1.1 700 OK"),
                line("status of zeros", "HTTP/1.1 000 OK"),
                line("status of zeros without a reason", "HTTP/1.1 000"),
                line("two spaces before the status", "HTTP/1.1  200 OK"),
                line("another major version", "HTTP/9.9 200 OK"),
                line("version in lower case", "http/1.1 200 OK"),
                line("another protocol", "ICY/1.1 200 OK"),
                line("line end before the head", "\r\n" + STATUS_LINE),
                line("switch of protocols", "HTTP/1.1 101 X"),
                Arguments.of("switch of protocols before the response", "HTTP/1.1 101 X\r\n\r\n" + OK),
                coding("unknown transfer coding", "Transfer-Encoding: xchunked"),
                coding("identity transfer coding", "Transfer-Encoding: identity"),
                coding("second transfer coding", "Transfer-Encoding: gzip, chunked"),
                coding("chunked twice", "Transfer-Encoding: chunked, chunked"),
                coding("chunked in two headers", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
                coding("length and chunks", "Content-Length: 4\r\nTransfer-Encoding: chunked"),
                Arguments.of("chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + CHUNKED_BODY),
                header("two lengths", "Content-Length: 5"),
                header("length of no number", "Content-Length: x"),
                header("length with a sign", "Content-Length: +4"),
                Arguments.of("only a length with a sign", OK.replace("Length: 4", "Length: +4")),
                header("id of another request", "X-Request-Id: other"),
                header("two ids", "X-Request-Id: r-1\r\nX-Request-Id: other"),
                header("empty id", "X-Request-Id:"),
                Arguments.of("nothing but a length that is not zero", STATUS_LINE + "\r\n" + LENGTH + "\r\n"));
    }

    private static ResponseReader read(String response) throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream((number, request, connection) -> {
            ScriptedUpstream.write(connection, response);
            return false;
        })) {
            Agent agent = upstream.startAgent();
            try (ExecuteClient client = new ExecuteClient(agent.port())
                    .send(ExecuteClient.dispatch("r-1", AgentFixture.INCARNATION, "GET", "/a", ""))) {
                return new ResponseReader().readAll(client);
            } finally {
                agent.close();
            }
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("responses")
    void isReportedAsLost(String name, String response) throws Exception {
        ResponseReader reader = read(response);

        assertThat(reader.completed()).as("complete, status " + reader.status()).isFalse();
        Failed failed = reader.failed();
        assertThat(failed.getKind()).isIn("upstream-lost", "answer-incomplete");
    }

    @Test
    void theProperResponseIsComplete() throws Exception {
        assertThat(read(OK).text()).isEqualTo("body");
    }

    @Test
    void theResponseThatNamesItsRequestIsComplete() throws Exception {
        assertThat(read(OK.replace(LENGTH, LENGTH + "x-request-id: r-1\r\n")).text())
                .isEqualTo("body");
    }

    /** The caller says which codings it accepts. */
    @Test
    void anEncodedBodyIsPassedOn() throws Exception {
        assertThat(read(OK.replace(LENGTH, LENGTH + "Content-Encoding: gzip\r\n"))
                        .text())
                .isEqualTo("body");
    }
}
