package org.kingcuproad.agent;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an engine whose control response never ends, all of which the agent kept until it had no memory. */
class EndlessControlResponseTest {

    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String FILLER = "3e8\r\n" + "x".repeat(1_000) + "\r\n";

    /** Upper bound on what an engine can write before the call is given up; most of it lies in socket buffers. */
    private static final long MAX_ACCEPTED_BYTES = 16 << 20;

    private static final long ENDED_WITHIN_MS = 3_000;

    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = {CHUNKED, "HTTP/1.1 200 OK\r\nX-Long: ", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\n\r\n"})
    void isGivenUp(String start) throws Exception {
        AtomicLong writtenBytes = new AtomicLong();
        CountDownLatch disconnected = new CountDownLatch(1);
        NioEventLoopGroup loops = new NioEventLoopGroup(1);
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> serve(server, start, writtenBytes, disconnected));
            UpstreamClient client =
                    new UpstreamClient(loops, "http://127.0.0.1:" + server.getLocalPort(), AgentTiming.standard());
            CompletableFuture<Integer> result = new CompletableFuture<>();

            client.sendControl(
                    "GET",
                    "/control/load",
                    new byte[0],
                    new ResponseAggregator((status, body) -> result.complete(status)));

            assertThat(result.get(ENDED_WITHIN_MS, TimeUnit.MILLISECONDS)).isEqualTo(ResponseAggregator.NO_RESPONSE);
            assertThat(disconnected.await(ENDED_WITHIN_MS, TimeUnit.MILLISECONDS))
                    .as("connection is closed")
                    .isTrue();
            assertThat(writtenBytes.get()).isLessThan(MAX_ACCEPTED_BYTES);
            client.close();
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    private static void serve(ServerSocket server, String start, AtomicLong writtenBytes, CountDownLatch disconnected) {
        try (Socket connection = server.accept()) {
            OutputStream output = connection.getOutputStream();
            output.write(start.getBytes(StandardCharsets.UTF_8));
            byte[] filler = FILLER.repeat(100).getBytes(StandardCharsets.UTF_8);
            while (true) {
                output.write(filler);
                writtenBytes.addAndGet(filler.length);
                Thread.sleep(1);
            }
        } catch (IOException closed) {
            disconnected.countDown();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
