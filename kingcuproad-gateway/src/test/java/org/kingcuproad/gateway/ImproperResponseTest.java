package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against reading a success from bytes that are no response of the protocol to the request. */
class ImproperResponseTest {

    private static final int BAD_GATEWAY = 502;
    private static final String ID = "X-Request: %s\r\n";
    private static final String LENGTH = "Content-Length: 4\r\n";
    private static final String BODY = "\r\nbody";
    private static final String CHUNKED_BODY = "\r\n4\r\nbody\r\n0\r\n\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\n" + ID + GatewayFixture.SEAL + LENGTH + BODY;

    private static final String ZEROS = OK.replace("200 OK", "000 ");
    private static final String CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n";

    private final GatewayFixture fixture;

    ImproperResponseTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static String withStatusLine(String statusLine) {
        return OK.replace("HTTP/1.1 200 OK", statusLine);
    }

    private static String withHeader(String header) {
        return OK.replace(LENGTH, LENGTH + header + "\r\n");
    }

    private static String withCoding(String header) {
        return "HTTP/1.1 200 OK\r\n" + ID + GatewayFixture.SEAL + header + "\r\n" + CHUNKED_BODY;
    }

    static Stream<Arguments> responses() {
        return Stream.of(
                Arguments.of("status of four digits", withStatusLine("HTTP/1.1 2000 OK")),
                Arguments.of("status of two digits", withStatusLine("HTTP/1.1 20 OK")),
                Arguments.of("status with a sign", withStatusLine("HTTP/1.1 +200 OK")),
                Arguments.of("status out of range", withStatusLine("HTTP/1.1 700 OK")),
                Arguments.of("status of zeros", withStatusLine("HTTP/1.1 000 OK")),
                Arguments.of("status of zeros without a reason", withStatusLine("HTTP/1.1 000")),
                Arguments.of("status of zeros after an informational one", CONTINUE + ZEROS),
                Arguments.of("status of zeros without framing", ZEROS.replace(LENGTH, "Connection: close\r\n")),
                Arguments.of("status of zeros before the response", ZEROS + OK),
                Arguments.of("two spaces before the status", withStatusLine("HTTP/1.1  200 OK")),
                Arguments.of("another major version", withStatusLine("HTTP/9.9 200 OK")),
                Arguments.of("version in lower case", withStatusLine("http/1.1 200 OK")),
                Arguments.of("line end before the head", "\r\n" + OK),
                Arguments.of("switch of protocols", withStatusLine("HTTP/1.1 101 X")),
                Arguments.of("unknown transfer coding", withCoding("Transfer-Encoding: xchunked")),
                Arguments.of("identity transfer coding", withCoding("Transfer-Encoding: identity")),
                Arguments.of("second transfer coding", withCoding("Transfer-Encoding: gzip, chunked")),
                Arguments.of("chunked twice", withCoding("Transfer-Encoding: chunked, chunked")),
                Arguments.of(
                        "chunked in two headers",
                        withCoding("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked")),
                Arguments.of("length and chunks", withCoding("Content-Length: 4\r\nTransfer-Encoding: chunked")),
                Arguments.of("encoded body", withHeader("Content-Encoding: gzip")),
                Arguments.of("empty seal", OK.replace(GatewayFixture.SEAL, "X-Seal: \r\n")),
                Arguments.of("two seals", withHeader("X-Seal: t")),
                Arguments.of("no request id", OK.replace(ID, "")),
                Arguments.of("two request ids", withHeader("X-Request: other")),
                Arguments.of(
                        "failure with an unknown request id before the response",
                        "HTTP/1.1 500 X\r\nX-Request: other\r\nX-Seal: f\r\nContent-Length: 0\r\n\r\n" + OK),
                Arguments.of(
                        "failure with an empty request id before the response",
                        "HTTP/1.1 500 X\r\nX-Request: \r\nX-Seal: f\r\nContent-Length: 0\r\n\r\n" + OK));
    }

    private static FakeUpstream.Reply reply(String request, String response) {
        return new FakeUpstream.Reply(response.replace("%s", FakeUpstream.header(request, "X-Request")), false);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("responses")
    void deliversNoSuccess(String name, String response) throws Exception {
        fixture.upstream(request -> reply(request, response));
        fixture.start();

        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "r1").status()).isEqualTo(BAD_GATEWAY);
    }

    /** Guards against an upstream's status of zeros that a client gets as the answer to an order or a stream. */
    @ParameterizedTest
    @ValueSource(strings = {"/NON_IDEMPOTENT/order", "/STREAMING/draft"})
    void deliversNoStatusOfZeros(String path) throws Exception {
        fixture.upstream(request -> reply(request, ZEROS));
        fixture.start();

        assertThat(fixture.post(path, "r1", "prompt").status()).isEqualTo(BAD_GATEWAY);
    }

    @Test
    void deliversTheProperResponse() throws Exception {
        fixture.upstream(request -> reply(request, OK));
        fixture.start();

        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "r1").body()).isEqualTo("body");
    }
}
