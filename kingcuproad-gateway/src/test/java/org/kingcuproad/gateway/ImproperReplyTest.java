package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against believing bytes that are no whole response of the protocol to a call of the store or an engine. */
class ImproperReplyTest {

    private static final long TIMEOUT_MS = 1_000;
    private static final String BODY = "{\"as_of\":7,\"items\":[{\"name\":\"a}\"}]}";
    private static final String CHUNK = Integer.toHexString(BODY.length()) + "\r\n" + BODY + "\r\n0\r\n\r\n";
    private static final String LENGTH = "Content-Length: " + BODY.length() + "\r\n";
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);

    @AfterEach
    void close() throws Exception {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private HttpReply reply(HttpMethod method, String target, String response) throws Exception {
        try (FakeUpstream server = new FakeUpstream(request -> new FakeUpstream.Reply(response, true))) {
            SerialHttpConnection connection = new SerialHttpConnection(
                    loops.next(), new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()));
            CompletableFuture<HttpReply> reply = new CompletableFuture<>();
            byte[] body = method.equals(HttpMethod.GET) ? new byte[0] : "{}".getBytes(StandardCharsets.UTF_8);
            loops.next().execute(() -> connection.call(method, target, body, TIMEOUT_MS, reply::complete));
            return reply.get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private static String withStatusLine(String statusLine) {
        return statusLine + "\r\n" + LENGTH + "\r\n" + BODY;
    }

    private static String withHeader(String header) {
        return OK + LENGTH + header + "\r\n\r\n" + BODY;
    }

    private static String withCoding(String header) {
        return OK + header + "\r\n\r\n" + CHUNK;
    }

    static Stream<Arguments> improperResponses() {
        return Stream.of(
                Arguments.of("status of four digits", withStatusLine("HTTP/1.1 2000 OK")),
                Arguments.of("status of two digits", withStatusLine("HTTP/1.1 20 OK")),
                Arguments.of("status with a sign", withStatusLine("HTTP/1.1 +200 OK")),
                Arguments.of("status out of range", withStatusLine("HTTP/1.1 700 OK")),
                Arguments.of("two spaces before the status", withStatusLine("HTTP/1.1  200 OK")),
                Arguments.of("another major version", withStatusLine("HTTP/9.9 200 OK")),
                Arguments.of("version in lower case", withStatusLine("http/1.1 200 OK")),
                Arguments.of("line end before the head", "\r\n" + withStatusLine("HTTP/1.1 200 OK")),
                Arguments.of("bytes before the head", "\u0001\u0002" + withStatusLine("HTTP/1.1 200 OK")),
                Arguments.of("switch of protocols", withStatusLine("HTTP/1.1 101 X")),
                Arguments.of("unknown transfer coding", withCoding("Transfer-Encoding: xchunked")),
                Arguments.of(
                        "body declared as not encoded",
                        OK + "Content-Encoding: identity\r\nContent-Length: 35\r\n\r\n" + BODY),
                Arguments.of("identity transfer coding", withCoding("Transfer-Encoding: identity")),
                Arguments.of("second transfer coding", withCoding("Transfer-Encoding: gzip, chunked")),
                Arguments.of("chunked twice", withCoding("Transfer-Encoding: chunked, chunked")),
                Arguments.of("length and chunks", withCoding("Content-Length: 4\r\nTransfer-Encoding: chunked")),
                Arguments.of("two lengths", withHeader("Content-Length: 1")),
                Arguments.of("length that is no number", OK + "Content-Length: x\r\n\r\n" + BODY),
                Arguments.of("encoded body", withHeader("Content-Encoding: gzip")),
                Arguments.of("body that is said to be plain", withHeader("Content-Encoding: identity")),
                Arguments.of("no length and no body", OK + "\r\n"),
                Arguments.of("no length and a cut body", OK + "\r\n" + BODY.substring(0, BODY.length() - 1)),
                Arguments.of("no length and two bodies", OK + "\r\n" + BODY + BODY),
                Arguments.of("no length and a second response", OK + "\r\n" + BODY + withStatusLine("HTTP/1.1 500 X")),
                Arguments.of("no length and a number", OK + "\r\n12"),
                Arguments.of("failure with a cut body", "HTTP/1.1 409 Conflict\r\n\r\n{\"metadata\":{"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("improperResponses")
    void losesARead(String name, String response) throws Exception {
        assertThat(reply(HttpMethod.GET, "/report", response)).isInstanceOf(HttpReply.Lost.class);
    }

    /** A lost order may have been carried out. */
    @ParameterizedTest(name = "{0}")
    @MethodSource("improperResponses")
    void losesAnOrder(String name, String response) throws Exception {
        assertThat(reply(HttpMethod.POST, "/order", response)).isInstanceOf(HttpReply.Lost.class);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Content-Length: 35\r\n", "Connection: close\r\n"})
    void takesAProperResponse(String headers) throws Exception {
        assertThat(BODY).hasSize(35);
        assertThat(reply(HttpMethod.GET, "/report", OK + headers + "\r\n" + BODY))
                .isInstanceOfSatisfying(HttpReply.Response.class, response -> {
                    assertThat(response.status()).isEqualTo(200);
                    assertThat(new String(response.body(), StandardCharsets.UTF_8))
                            .isEqualTo(BODY);
                });
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 202 Accepted\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"
            })
    void takesAnAcceptedOrder(String response) throws Exception {
        assertThat(reply(HttpMethod.POST, "/order", response))
                .isInstanceOfSatisfying(
                        HttpReply.Response.class,
                        accepted -> assertThat(accepted.status()).isEqualTo(202));
    }
}
