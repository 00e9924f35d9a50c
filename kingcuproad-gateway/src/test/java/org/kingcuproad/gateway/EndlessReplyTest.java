package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.kingcuproad.runtime.log.DecisionLog;
import org.kingcuproad.runtime.log.LineSink;

/** Guards against a store or an engine whose reply never ends: the call fails in time and its bytes are not kept. */
class EndlessReplyTest {

    private static final long CALL_TIMEOUT_MS = 1_000;
    private static final long CALL_ENDED_WITHIN_MS = 2_000;

    /** Upper bound on what a server can write before the call is given up; most of it lies in socket buffers. */
    private static final long MAX_ACCEPTED_BYTES = 24 << 20;

    /** Time within which the balancer expects an answer to its readiness check, which the same event loop gives. */
    private static final long PROBE_TIMEOUT_MS = 1_000;

    /** Number of objects of the largest deployments is some hundreds; the store stores many more than that. */
    private static final int OBJECTS_PER_PAGE = 500;

    private static final int MAX_PAGES = 2_000;
    private static final String FILLER = "x".repeat(1_000);
    private static final String CHUNK = "3e8\r\n" + FILLER + "\r\n";
    private static final String CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
    private final EventLoop eventLoop = loops.next();

    @AfterEach
    void close() throws Exception {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private static StreamingUpstream.Script endless(String start, String repeated) {
        return (request, output) -> {
            output.write(start);
            while (true) {
                output.write(repeated);
            }
        };
    }

    static Stream<Arguments> endlessReplies() {
        return Stream.of(
                Arguments.of("status line", endless("HTTP/1.1 200 ", FILLER)),
                Arguments.of("header", endless("HTTP/1.1 200 OK\r\nX-Long: ", FILLER)),
                Arguments.of("headers", endless("HTTP/1.1 200 OK\r\n", "X-More: " + FILLER + "\r\n")),
                Arguments.of("informational heads", endless("", "HTTP/1.1 102 Processing\r\nX-Info: 1\r\n\r\n")),
                Arguments.of("bytes that are no response", endless("", "\u0001\u0002 garbage\n")),
                Arguments.of("chunks", endless(CHUNKED, CHUNK)),
                Arguments.of("chunks of one byte", endless(CHUNKED, "1\r\nx\r\n".repeat(1_000))),
                Arguments.of("body without length", endless("HTTP/1.1 200 OK\r\n\r\n", FILLER)),
                Arguments.of(
                        "declared length", endless("HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n", FILLER)),
                Arguments.of("chunk extension", endless(CHUNKED + "5;", FILLER)),
                Arguments.of("trailers", endless(CHUNKED + "2\r\nok\r\n0\r\n", "X-Trailer: " + FILLER + "\r\n")));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("endlessReplies")
    void failsTheCall(String part, StreamingUpstream.Script script) throws Exception {
        try (StreamingUpstream server = new StreamingUpstream(script)) {
            SerialHttpConnection connection = new SerialHttpConnection(eventLoop, address(server));
            CompletableFuture<HttpReply> reply = new CompletableFuture<>();
            AtomicLong longestGapMs = new AtomicLong();
            AtomicLong lastTickNs = new AtomicLong(System.nanoTime());
            eventLoop.scheduleAtFixedRate(
                    () -> {
                        long nowNs = System.nanoTime();
                        longestGapMs.accumulateAndGet(
                                TimeUnit.NANOSECONDS.toMillis(nowNs - lastTickNs.getAndSet(nowNs)), Math::max);
                    },
                    0,
                    10,
                    TimeUnit.MILLISECONDS);

            eventLoop.execute(
                    () -> connection.call(HttpMethod.GET, "/list", new byte[0], CALL_TIMEOUT_MS, reply::complete));

            HttpReply ended = reply.get(CALL_ENDED_WITHIN_MS, TimeUnit.MILLISECONDS);
            assertThat(ended instanceof HttpReply.Response response && response.ok())
                    .as("%s: %s", part, ended)
                    .isFalse();
            assertThat(server.disconnected().await(CALL_ENDED_WITHIN_MS, TimeUnit.MILLISECONDS))
                    .as("connection is closed")
                    .isTrue();
            assertThat(server.writtenBytes()).isLessThan(MAX_ACCEPTED_BYTES);
            assertThat(longestGapMs.get()).as("longest pause of the event loop").isLessThan(PROBE_TIMEOUT_MS);
        }
    }

    private static InetSocketAddress address(StreamingUpstream server) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port());
    }

    /** Guards against a listing whose pages never end, all of which were kept until the memory was used up. */
    @Test
    void givesUpAListingWhosePagesNeverEnd() throws Exception {
        AtomicInteger pages = new AtomicInteger();
        AtomicInteger longestListing = new AtomicInteger();
        AtomicInteger pagesOfListing = new AtomicInteger();
        StreamingUpstream.Script script = (request, output) -> {
            pages.incrementAndGet();
            output.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        };
        FakeDialect<String> dialect = new FakeDialect<>(List.of()) {
            @Override
            public String listTarget(Optional<String> after) {
                if (after.isEmpty()) {
                    pagesOfListing.set(0);
                }
                return "/list";
            }

            @Override
            public StorePage<String> readPage(byte[] body) {
                longestListing.accumulateAndGet(pagesOfListing.incrementAndGet(), Math::max);
                return new StorePage<>(
                        java.util.stream.IntStream.range(0, OBJECTS_PER_PAGE)
                                .mapToObj(number -> new StoreObject<>("o" + number, Optional.of("x"), ""))
                                .toList(),
                        true,
                        1);
            }
        };
        try (StreamingUpstream server = new StreamingUpstream(script)) {
            StoreWatcher<String> watcher = new StoreWatcher<>(
                    dialect,
                    eventLoop,
                    Clock.SYSTEM,
                    address(server),
                    new StoreListener<>() {
                        @Override
                        public void onListing(
                                List<StoreObject<String>> objects, long requestedSteadyMs, long requestedWallMs) {}

                        @Override
                        public void onChanges(
                                List<StoreChange<String>> changes, long requestedSteadyMs, long requestedWallMs) {}
                    },
                    new DecisionLog(new LineSink(java.io.OutputStream.nullOutputStream()), System::currentTimeMillis),
                    1_000);
            eventLoop.execute(watcher::start);
            long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            while (System.nanoTime() < endNs && longestListing.get() <= MAX_PAGES && pages.get() <= MAX_PAGES) {
                Thread.sleep(20);
            }
            eventLoop.submit(watcher::close).sync();

            assertThat(longestListing.get()).as("pages of one listing").isBetween(2, MAX_PAGES / 10);
        }
    }
}
