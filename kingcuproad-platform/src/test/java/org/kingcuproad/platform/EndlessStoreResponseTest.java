package org.kingcuproad.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a store whose response never ends, all of which the client kept until its process had no memory. */
class EndlessStoreResponseTest {

    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nETag: \"1\"\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String FILLER = "3e8\r\n" + "x".repeat(1_000) + "\r\n";

    /** Upper bound on what the store can write before the call is given up: a listing and the socket buffers. */
    private static final long MAX_ACCEPTED_BYTES = 32 << 20;

    private static final int REQUEST_TIMEOUT_MS = 1_500;
    private static final long ENDED_WITHIN_MS = 3_000;

    static Stream<Arguments> calls() {
        return Stream.of(CHUNKED, "HTTP/1.1 200 OK\r\nX-Long: ", "HTTP/1.1 200 OK\r\n\r\n")
                .flatMap(start -> Stream.of("get", "list", "update").map(call -> Arguments.of(call, start)));
    }

    @ParameterizedTest(name = "{0} {1}")
    @MethodSource("calls")
    void isGivenUp(String call, String start) throws Exception {
        AtomicLong writtenBytes = new AtomicLong();
        CountDownLatch disconnected = new CountDownLatch(1);
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> serve(server, start, writtenBytes, disconnected));
            ObjectStore store = HttpObjectStore.open(ObjectStoreSettings.of("http://127.0.0.1:" + server.getLocalPort())
                    .withRequestTimeoutMs(REQUEST_TIMEOUT_MS));
            Object result = switch (call) {
                case "get" -> store.get("a").get(ENDED_WITHIN_MS, TimeUnit.MILLISECONDS);
                case "list" -> store.list("a").get(ENDED_WITHIN_MS, TimeUnit.MILLISECONDS);
                default -> store.update("a", new byte[1], 1).get(ENDED_WITHIN_MS, TimeUnit.MILLISECONDS);
            };

            assertThat(result)
                    .isInstanceOfAny(
                            ReadResult.Unavailable.class, ListResult.Unavailable.class, WriteResult.Unavailable.class);
            assertThat(disconnected.await(ENDED_WITHIN_MS, TimeUnit.MILLISECONDS))
                    .as("connection is closed")
                    .isTrue();
            assertThat(writtenBytes.get()).isLessThan(MAX_ACCEPTED_BYTES);
            store.close();
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
