package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.PushbackInputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.gateway.ClientLimits;

/** Guards against clients that a planned stop cuts off: every request that was accepted is answered completely. */
class GatewayShutdownTest {

    /** Time for which the event loop does nothing after the stop; it closes sockets only while it selects. */
    private static final long LOOP_DELAY_MS = 400;

    /** Time after which a draining gateway closes idle connections, since the balancer no longer sends clients. */
    private static final long IDLE_CLOSING_MS = 2_300;

    private static final int CLIENTS = 8;
    private static final int QUEUED_CLIENTS = 40;
    private static final int STREAM_CLIENTS = 4;
    private static final int STREAM_EVENTS = 35;
    private static final long EVENT_INTERVAL_MS = 100;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    private final GatewayFixture fixture;

    GatewayShutdownTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static void sleep(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Guards against reporting the stop while the listening socket is still open, because the selector had not removed
     * it yet. A client that was accepted then was disconnected by the exit of the process.
     */
    @Test
    void acceptsNobodyOnceItHasStopped() throws Exception {
        Gateway gateway = fixture.start();
        gateway.stopped().thenRun(() -> sleep(LOOP_DELAY_MS));
        gateway.drain();
        while (!gateway.stopped().isDone()) {
            sleep(1);
        }

        assertThatThrownBy(() -> fixture.open().close()).isInstanceOf(IOException.class);
    }

    /**
     * Guards against closing a connection between its acceptance and its first request, as if it were idle. The client
     * then lost a request that it had just sent.
     */
    @Test
    void answersTheFirstRequestOfAConnectionAcceptedWhileDraining() throws Exception {
        fixture.setDrainGraceMs(6_000);
        fixture.upstream(request -> GatewayFixture.ok(request, "stock"));
        Gateway gateway = fixture.start();
        gateway.drain();
        sleep(IDLE_CLOSING_MS - 100);

        try (Socket socket = fixture.open()) {
            sleep(400);
            socket.getOutputStream()
                    .write(GatewayFixture.getRequest("/IDEMPOTENT/a", "k1", "r1")
                            .getBytes(StandardCharsets.UTF_8));

            assertThat(RawResponse.read(socket.getInputStream()).body()).isEqualTo("stock");
        }
    }

    /**
     * Guards against cutting off clients under load: they connect and send requests throughout a stop, and each request
     * on an accepted connection gets its complete answer. A connection that the closing socket never accepted is reset
     * unread, which tells its client that the request has not run.
     */
    @RepeatedTest(5)
    void answersEveryAcceptedRequestOfAStopUnderLoad() throws Exception {
        fixture.setDrainGraceMs(2_400);
        fixture.upstream(request -> {
            sleep(20);
            return GatewayFixture.ok(request, "stock");
        });
        Gateway gateway = fixture.start();
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        try {
            List<Future<Integer>> answered = new ArrayList<>();
            for (int client = 0; client < CLIENTS; client++) {
                int number = client;
                answered.add(clients.submit(() -> requestUntilRefused(number)));
            }
            sleep(200);
            gateway.drain();
            gateway.stopped().get(10, TimeUnit.SECONDS);
            long total = 0;
            for (Future<Integer> count : answered) {
                total += count.get(10, TimeUnit.SECONDS);
            }

            assertThat(total).as("answered requests").isGreaterThan(100).isEqualTo(gateway.acceptedConnections());
        } finally {
            clients.shutdownNow();
        }
    }

    /** Sends one request a connection until the gateway refuses one, and returns how many were answered. */
    private int requestUntilRefused(int client) {
        int answered = 0;
        while (true) {
            String id = "r" + client + "-" + answered;
            try {
                if (fixture.get("/IDEMPOTENT/a", "k1", id).status() > 0) {
                    answered++;
                }
            } catch (IOException refused) {
                return answered;
            }
        }
    }

    /**
     * Guards against streams that a draining gateway accepts on kept connections and cuts off when it stops: each is
     * complete, or rejected before it reaches an upstream.
     */
    @Test
    void cutsOffNoStreamThatIsSentWhileItDrains() throws Exception {
        fixture.setDrainGraceMs(7_000);
        fixture.setTimeoutMs(5_000);
        StreamingUpstream.Script script = (request, output) -> {
            output.writeStreamHead(request);
            for (int event = 1; event <= STREAM_EVENTS; event++) {
                sleep(EVENT_INTERVAL_MS);
                output.writeChunk("id: " + event + "\ndata: e\n\n");
            }
            output.write("0\r\n\r\n");
        };
        StreamingUpstream first = fixture.streamingUpstream(script);
        StreamingUpstream second = fixture.streamingUpstream(script);
        Gateway gateway = fixture.start();
        ExecutorService clients = Executors.newFixedThreadPool(STREAM_CLIENTS);
        try {
            List<Future<StreamCounts>> counts = new ArrayList<>();
            for (int client = 0; client < STREAM_CLIENTS; client++) {
                int number = client;
                counts.add(clients.submit(() -> readStreams(number)));
            }
            // The stream of the last client ends 3.1 s after the signal, and another one would end after the service.
            sleep(2 * STREAM_EVENTS * EVENT_INTERVAL_MS - STREAM_EVENTS * EVENT_INTERVAL_MS / (2 * STREAM_CLIENTS));
            gateway.drain();
            gateway.stopped().get(10, TimeUnit.SECONDS);
            fixture.exitGateway();
            int complete = 0;
            int rejected = 0;
            int cutOff = 0;
            for (Future<StreamCounts> future : counts) {
                StreamCounts count = future.get(10, TimeUnit.SECONDS);
                complete += count.complete();
                rejected += count.rejected();
                cutOff += count.cutOff();
            }

            assertThat(cutOff).as("streams cut off").isZero();
            assertThat(first.requests().size() + second.requests().size())
                    .as("requests at the upstreams")
                    .isEqualTo(complete)
                    .isGreaterThan(STREAM_CLIENTS);
            assertThat(rejected).as("rejected streams").isPositive();
        } finally {
            clients.shutdownNow();
        }
    }

    /** Guards against refusing or resetting connections while requests on them can still be answered. */
    @Test
    void answersRequestsOnConnectionsThatAreOpenedLateInTheGracePeriod() throws Exception {
        fixture.setDrainGraceMs(7_000);
        fixture.setTimeoutMs(6_900);
        fixture.upstream(request -> {
            if (request.contains("/NON_IDEMPOTENT/")) {
                sleep(6_000);
            }
            return GatewayFixture.ok(request, "stock");
        });
        Gateway gateway = fixture.start();
        try (Socket busy = fixture.open()) {
            busy.getOutputStream()
                    .write(GatewayFixture.keptAlivePostRequest("/NON_IDEMPOTENT/a", "r1")
                            .getBytes(StandardCharsets.UTF_8));
            sleep(100);
            gateway.drain();
            sleep(4_200);
            RawResponse served = fixture.get("/IDEMPOTENT/a", "k1", "r2");
            sleep(600);
            RawResponse rejected = fixture.get("/IDEMPOTENT/a", "k1", "r3");

            assertThat(served.body()).isEqualTo("stock");
            assertThat(rejected.status()).isEqualTo(SERVICE_UNAVAILABLE);
            assertThat(rejected.header("Retry-After")).hasValue("0.000");
        }
    }

    /** Guards against counting the grace period from the time at which a busy event loop handles the signal. */
    @Test
    void stopsWithinTheGracePeriodThoughTheEventLoopIsBusyAtTheSignal() throws Exception {
        fixture.setTimeoutMs(5_000);
        fixture.upstream(request -> {
            sleep(5_000);
            return GatewayFixture.ok(request, "late");
        });
        Gateway gateway = fixture.start();
        try (Socket socket = fixture.open()) {
            socket.getOutputStream()
                    .write(GatewayFixture.keptAlivePostRequest("/NON_IDEMPOTENT/a", "r1")
                            .getBytes(StandardCharsets.UTF_8));
            sleep(100);
            gateway.execute(() -> sleep(1_000));
            long startNs = System.nanoTime();
            gateway.drain();
            gateway.stopped().get(10, TimeUnit.SECONDS);

            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs))
                    .isLessThan(2_000);
        }
    }

    /** Guards against closing a connection without an answer because the upstream is still at work. */
    @Test
    void answersAnOrderThatIsInProgressWhenTheServiceEnds() throws Exception {
        fixture.setTimeoutMs(5_000);
        fixture.upstream(request -> {
            sleep(5_000);
            return GatewayFixture.ok(request, "late");
        });
        Gateway gateway = fixture.start();
        try (Socket socket = fixture.open()) {
            socket.getOutputStream()
                    .write(GatewayFixture.keptAlivePostRequest("/NON_IDEMPOTENT/a", "r1")
                            .getBytes(StandardCharsets.UTF_8));
            sleep(100);
            gateway.drain();
            gateway.stopped().get(10, TimeUnit.SECONDS);
            fixture.exitGateway();

            assertThat(RawResponse.readMessage(socket.getInputStream()).status())
                    .as("status of a request that may have run")
                    .isEqualTo(GATEWAY_TIMEOUT);
        }
    }

    /** Guards against requests that wait for a slot until the gateway stops and are closed without an answer. */
    @Test
    void rejectsQueuedRequestsThatCannotBeServedBeforeTheStop() throws Exception {
        fixture.setTimeoutMs(5_000);
        FakeUpstream upstream = fixture.upstream(request -> {
            sleep(5_000);
            return GatewayFixture.ok(request, "late");
        });
        Gateway gateway = fixture.start();
        List<Socket> sockets = new ArrayList<>();
        for (int client = 0; client < QUEUED_CLIENTS; client++) {
            Socket socket = fixture.open();
            sockets.add(socket);
            socket.getOutputStream()
                    .write(GatewayFixture.keptAlivePostRequest("/NON_IDEMPOTENT/a", "r" + client)
                            .getBytes(StandardCharsets.UTF_8));
        }
        sleep(100);
        gateway.drain();
        sleep(200);

        int rejected = 0;
        for (Socket socket : sockets) {
            if (socket.getInputStream().available() > 0) {
                assertThat(RawResponse.readMessage(socket.getInputStream()).status())
                        .isEqualTo(SERVICE_UNAVAILABLE);
                rejected++;
            }
            socket.close();
        }
        assertThat(rejected + upstream.requests().size()).isEqualTo(QUEUED_CLIENTS);
        assertThat(rejected).isPositive();
    }

    private record StreamCounts(int complete, int rejected, int cutOff) {}

    /** Reads one stream after the other on a kept connection, each sent as soon as the last one has ended. */
    private StreamCounts readStreams(int client) {
        int complete = 0;
        sleep((long) client * STREAM_EVENTS * EVENT_INTERVAL_MS / STREAM_CLIENTS);
        try (Socket socket = fixture.open()) {
            PushbackInputStream input = new PushbackInputStream(socket.getInputStream());
            while (true) {
                socket.getOutputStream()
                        .write(GatewayFixture.keptAlivePostRequest("/STREAMING/draft", "s" + client + "-" + complete)
                                .getBytes(StandardCharsets.UTF_8));
                if (closedWithoutResponse(input)) {
                    return new StreamCounts(complete, 0, 0);
                }
                RawResponse response = RawResponse.readMessage(input);
                if (response.status() == SERVICE_UNAVAILABLE) {
                    assertThat(response.header("Retry-After")).hasValue("0.000");
                    return new StreamCounts(complete, 1, 0);
                }
                complete++;
                if (response.header("Connection").isPresent()) {
                    return new StreamCounts(complete, 0, 0);
                }
            }
        } catch (IOException cutOff) {
            return new StreamCounts(complete, 0, 1);
        }
    }

    /** Returns whether the gateway closed the connection before a response, as if it had not read the request. */
    private static boolean closedWithoutResponse(PushbackInputStream input) throws IOException {
        try {
            int first = input.read();
            if (first >= 0) {
                input.unread(first);
            }
            return first < 0;
        } catch (SocketException reset) {
            return true;
        }
    }

    private RawResponse responseToAPart(String part) throws Exception {
        fixture.setDrainGraceMs(1_500);
        fixture.setHeaderTimeoutMs(5_000);
        AtomicInteger requests = new AtomicInteger();
        fixture.upstream(request -> {
            requests.incrementAndGet();
            return GatewayFixture.ok(request, "stock");
        });
        Gateway gateway = fixture.start();
        try (Socket socket = fixture.open()) {
            socket.getOutputStream().write(part.getBytes(StandardCharsets.UTF_8));
            sleep(200);
            gateway.drain();
            RawResponse response = RawResponse.read(socket.getInputStream());
            assertThat(requests.get()).as("requests that ran").isZero();
            return response;
        }
    }

    /** Guards against closing a connection unread whose request is still arriving when the service ends. */
    @Test
    void answersAnUploadThatIsStillArrivingWhenTheServiceEnds() throws Exception {
        String request = GatewayFixture.keptAlivePostRequest("/NON_IDEMPOTENT/a", "r1");
        RawResponse response = responseToAPart(request.substring(0, request.length() - 3));

        assertThat(response.status()).isEqualTo(SERVICE_UNAVAILABLE);
        assertThat(response.body()).contains("\"execution\":\"not-run\"");
        assertThat(response.header("Connection")).contains("close");
        assertThat(response.header("Retry-After")).isPresent();
    }

    @Test
    void answersHeadersThatAreStillArrivingWhenTheServiceEnds() throws Exception {
        RawResponse response = responseToAPart("GET /IDEMPOTENT/a HTTP/1.1\r\nHost: office.exa");

        assertThat(response.status()).isEqualTo(SERVICE_UNAVAILABLE);
        assertThat(response.body()).contains("\"execution\":\"not-run\"");
    }

    /** Guards against resetting clients that wait in the accept queue when the listening socket is closed. */
    @Test
    void acceptsTheClientsInTheQueueBeforeTheSocketIsClosed() throws Exception {
        NioEventLoopGroup loops = new NioEventLoopGroup(1);
        try {
            AtomicInteger accepted = new AtomicInteger();
            EventLoop loop = loops.next();
            ClientListener listener = loop.submit(
                            () -> ClientListener.open(loop, fixture.address(), () -> ClientLimits.DEFAULTS, channel -> {
                                accepted.incrementAndGet();
                                throw new IllegalStateException("the test needs no handler");
                            }))
                    .get();
            listener.bound().sync();
            CountDownLatch connected = new CountDownLatch(1);
            List<Socket> sockets = new ArrayList<>();
            loop.execute(() -> awaitLatch(connected));
            loop.execute(listener::stop);
            for (int client = 0; client < QUEUED_CLIENTS; client++) {
                sockets.add(fixture.open());
            }
            connected.countDown();
            long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (!listener.stopped() && System.nanoTime() < endNs) {
                sleep(5);
            }

            assertThat(listener.stopped()).isTrue();
            assertThat(accepted.get()).as("accepted clients").isEqualTo(QUEUED_CLIENTS);
            for (Socket socket : sockets) {
                socket.close();
            }
        } finally {
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    /** Guards against resetting clients that connect while the last accepted ones are being registered. */
    @Test
    void acceptsClientsThatConnectWhileTheQueueIsEmptied() throws Exception {
        NioEventLoopGroup loops = new NioEventLoopGroup(1);
        List<Socket> sockets = new CopyOnWriteArrayList<>();
        try {
            AtomicInteger accepted = new AtomicInteger();
            EventLoop loop = loops.next();
            ClientListener listener = loop.submit(() ->
                            ClientListener.open(loop, fixture.address(), () -> ClientLimits.DEFAULTS, channel -> {
                                if (accepted.incrementAndGet() < QUEUED_CLIENTS) {
                                    sockets.add(openUnchecked());
                                }
                                throw new IllegalStateException("the test needs no handler");
                            }))
                    .get();
            listener.bound().sync();
            CountDownLatch connected = new CountDownLatch(1);
            loop.execute(() -> awaitLatch(connected));
            loop.execute(listener::stop);
            sockets.add(fixture.open());
            connected.countDown();
            long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
            while (!listener.stopped() && System.nanoTime() < endNs) {
                sleep(5);
            }

            assertThat(listener.stopped()).isTrue();
            assertThat(accepted.get()).as("accepted clients").isEqualTo(sockets.size());
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
            loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }

    private Socket openUnchecked() {
        try {
            return fixture.open();
        } catch (IOException refused) {
            throw new UncheckedIOException(refused);
        }
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
