package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.kingcuproad.gateway.CutUpstream.End;
import org.kingcuproad.gateway.CutUpstream.Part;

/** Guards against taking a cut reply of the store or an engine for an empty listing or an accepted order. */
class CutReplyTest {

    private static final String BODY = "{\"as_of\":1,\"items\":[]}";
    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
    private static final long TIMEOUT_MS = 5_000;

    static Stream<Arguments> cuts() {
        String withLength = STATUS_LINE + "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY;
        String inChunks = STATUS_LINE + "Transfer-Encoding: chunked\r\n\r\n8\r\n" + BODY.substring(0, 8) + "\r\n"
                + Integer.toHexString(BODY.length() - 8) + "\r\n" + BODY.substring(8) + "\r\n0\r\n\r\n";
        String headOnly = STATUS_LINE + "Content-Type: application/json\r\n\r";
        String withoutLength = STATUS_LINE + "Content-Type: application/json\r\n\r\n" + BODY;
        return Stream.of(withLength, inChunks, headOnly, withoutLength, "HTTP/1.1 102 Processing\r\n\r\n" + withLength)
                .flatMap(text -> Stream.of(End.values()).map(end -> Arguments.of(text, end)));
    }

    private static HttpReply reply(NioEventLoopGroup loops, int port) throws Exception {
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        SerialHttpConnection connection =
                new SerialHttpConnection(loops.next(), new InetSocketAddress("127.0.0.1", port));
        loops.next().execute(() -> connection.call(HttpMethod.GET, "/list", new byte[0], TIMEOUT_MS, reply::complete));
        try {
            return reply.get(2 * TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } finally {
            loops.next().submit(connection::close).sync();
        }
    }

    @ParameterizedTest
    @MethodSource("cuts")
    void neverTakesACutReplyForAWholeOne(String text, End end) throws Exception {
        NioEventLoopGroup loops = new NioEventLoopGroup(1);
        try {
            for (int cut : IntStream.rangeClosed(0, text.length()).toArray()) {
                try (CutUpstream server =
                        new CutUpstream(1, (request, earlierId) -> new Part(text.substring(0, cut), end, true))) {
                    if (reply(loops, server.ports().getFirst()) instanceof HttpReply.Response response) {
                        assertThat(new String(response.body(), StandardCharsets.UTF_8))
                                .as(
                                        "body of a reply with status %d that was cut after %d bytes",
                                        response.status(), cut)
                                .isEqualTo(BODY);
                    }
                }
            }
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }
}
