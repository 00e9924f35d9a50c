package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
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

    /** Guards against resetting clients that wait in the accept queue when the listening socket is closed. */
    @Test
    void acceptsTheClientsInTheQueueBeforeTheSocketIsClosed() throws Exception {
        NioEventLoopGroup loops = new NioEventLoopGroup(1);
        try {
            AtomicInteger accepted = new AtomicInteger();
            EventLoop loop = loops.next();
            ClientListener listener = loop.submit(() -> ClientListener.open(
                            loop, fixture.address(), () -> ClientLimits.DEFAULTS, (channel, limits) -> {
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

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
