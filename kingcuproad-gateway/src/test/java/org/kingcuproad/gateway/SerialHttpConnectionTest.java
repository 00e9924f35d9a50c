package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against taking bytes of one call for the response to another. */
class SerialHttpConnectionTest {

    private static final byte[] NO_BODY = {};
    private static final String COPY = response("first");

    /** Time after which bytes are read separately from those that were sent before. */
    private static final long PAUSE_MS = 50;

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final SerialHttpConnection connection =
            new SerialHttpConnection(loops.next(), (InetSocketAddress) server.getLocalSocketAddress());

    SerialHttpConnectionTest() throws IOException {}

    @AfterEach
    void close() throws Exception {
        server.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private static String response(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private String call(String target) throws Exception {
        return call(connection, target);
    }

    private String call(SerialHttpConnection to, String target) throws Exception {
        CompletableFuture<HttpReply> reply = new CompletableFuture<>();
        loops.next().execute(() -> to.call(HttpMethod.GET, target, NO_BODY, 2_000, reply::complete));
        return switch (reply.get(5, TimeUnit.SECONDS)) {
            case HttpReply.Response response -> new String(response.body(), StandardCharsets.UTF_8);
            case HttpReply.Lost lost -> "lost: " + lost.reason();
        };
    }

    private void serve(String first, String second) {
        Thread thread = new Thread(
                () -> {
                    try (Socket accepted = server.accept()) {
                        FakeUpstream.read(accepted.getInputStream());
                        accepted.getOutputStream().write(first.getBytes(StandardCharsets.UTF_8));
                        FakeUpstream.read(accepted.getInputStream());
                        accepted.getOutputStream().write(second.getBytes(StandardCharsets.UTF_8));
                        accepted.getInputStream().read();
                    } catch (IOException closed) {
                        // The test has ended.
                    }
                },
                "serial-server");
        thread.setDaemon(true);
        thread.start();
    }

    @Test
    void takesNoLateCopyForTheResponseToTheNextCall() throws Exception {
        serve(response("first"), response("first") + response("second"));

        assertThat(call("/first")).isEqualTo("first");
        assertThat(call("/second")).isNotEqualTo("first");
    }

    private static String ok(String request) {
        return response(request.substring(request.indexOf('/') + 1, request.indexOf(" HTTP/")));
    }

    private SerialHttpConnection connectionTo(StreamingUpstream upstream) {
        return new SerialHttpConnection(
                loops.next(), new InetSocketAddress(InetAddress.getLoopbackAddress(), upstream.port()));
    }

    /** The end of the first response can't be told from the beginning of something else that the call didn't cause. */
    @ParameterizedTest
    @ValueSource(strings = {"x", "\r\n", "HTT", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 102 Processing\r\n\r\n"})
    void losesACallWhoseResponseMoreBytesFollow(String extra) throws Exception {
        try (StreamingUpstream upstream =
                new StreamingUpstream((request, output) -> output.write(ok(request) + extra))) {
            assertThat(call(connectionTo(upstream), "/first")).startsWith("lost: ");
            assertThat(upstream.disconnected().await(2, TimeUnit.SECONDS)).isTrue();
        }
    }

    @Test
    void losesACallThatIsAnsweredTwice() throws Exception {
        try (StreamingUpstream upstream =
                new StreamingUpstream((request, output) -> output.write(ok(request) + ok(request)))) {
            assertThat(call(connectionTo(upstream), "/first")).startsWith("lost: ");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"x", "\r\n", "HTT", "HTTP/1.1 102 Processing\r\n\r\n", "copy"})
    void closesAConnectionOnWhichBytesArriveWithoutACall(String extra) throws Exception {
        StreamingUpstream.Script script = (request, output) -> {
            output.write(ok(request));
            if (request.startsWith("GET /first")) {
                Thread.sleep(PAUSE_MS);
                output.write(extra.equals("copy") ? COPY : extra);
            }
        };
        try (StreamingUpstream upstream = new StreamingUpstream(script)) {
            SerialHttpConnection to = connectionTo(upstream);

            assertThat(call(to, "/first")).isEqualTo("first");
            assertThat(upstream.disconnected().await(2, TimeUnit.SECONDS)).isTrue();
            assertThat(call(to, "/second")).isEqualTo("second");
        }
    }
}
