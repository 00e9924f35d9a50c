package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against taking one of two responses of an upstream for the other, or for that to another request. */
class TwoAnswersTest {

    /** An upstream that fails twice in a row gets nothing for a while, so there have to be many. */
    private static final int UPSTREAMS = 400;

    private static final int CLIENTS = 120;
    private static final int TRIES = 4;

    /** An upstream that has answered 421 gets no more requests, so not all of these cases are played. */
    private static final int MISDIRECTED_STEP = 4;

    private static final int CASES = Integer.getInteger("answers.cases", 1_500);
    private static final long SEED = Long.getLong("answers.seed", 37);

    private final List<TwoAnswersRun> books = Collections.synchronizedList(new ArrayList<>());
    private final List<TwoAnswersCase> cases = TwoAnswersCase.all();
    private final ConcurrentLinkedQueue<String> violations = new ConcurrentLinkedQueue<>();
    private final AtomicInteger successes = new AtomicInteger();
    private final AtomicInteger reached = new AtomicInteger();
    private final List<TwoAnswersUpstream> upstreams = new ArrayList<>();
    private final GatewayFixture fixture;

    TwoAnswersTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
        for (TwoAnswersUpstream upstream : upstreams) {
            upstream.close();
        }
    }

    @Test
    void deliversOnlyTheResponseThatTheUpstreamStandsBy() throws Exception {
        for (int number = 0; number < UPSTREAMS; number++) {
            TwoAnswersUpstream upstream = new TwoAnswersUpstream(cases, books);
            upstreams.add(upstream);
            fixture.addEntry("127.0.0.1", upstream.port());
        }
        fixture.setRetrySlack(1_000_000);
        fixture.setOrderAttempts(2);
        fixture.start();
        List<Integer> order = new ArrayList<>();
        for (int number = 0; number < cases.size(); number++) {
            order.add(number);
        }
        Collections.shuffle(order, new Random(SEED));
        List<Integer> chosen = order.subList(0, Math.min(CASES, order.size())).stream()
                .filter(number ->
                        cases.get(number).first() != TwoAnswersCase.First.MISDIRECTED || number % MISDIRECTED_STEP == 0)
                .toList();
        Semaphore clients = new Semaphore(CLIENTS);
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int number : chosen) {
                clients.acquire();
                executor.execute(() -> {
                    try {
                        play(number);
                    } finally {
                        clients.release();
                    }
                });
            }
            executor.shutdown();
            assertThat(executor.awaitTermination(5, TimeUnit.MINUTES)).isTrue();
        }
        assertThat(violations).isEmpty();
        assertThat(new TwoAnswersJudge(books).repeatedOrders())
                .as("orders that ran twice")
                .isEmpty();
        assertThat(reached.get()).as("cases that an upstream had").isGreaterThan(chosen.size() * 9 / 10);
        assertThat(successes.get()).as("successes").isGreaterThan(chosen.size() / 4);
    }

    private void play(int number) {
        for (int attempt = 0; attempt < TRIES; attempt++) {
            String id = cases.get(number).kind().name() + "-" + number + "-" + attempt;
            ask(number, id);
            if (had(id)) {
                reached.incrementAndGet();
                return;
            }
            waitMs(100);
        }
    }

    private boolean had(String id) {
        synchronized (books) {
            return books.stream().anyMatch(run -> run.requestId().equals(id));
        }
    }

    private void ask(int number, String id) {
        TwoAnswersCase scenario = cases.get(number);
        long deadlineMs = scenario.first() == TwoAnswersCase.First.TIMED_OUT ? 250 : 1_500;
        String body = "prompt";
        String request = (scenario.kind() == TwoAnswersCase.Kind.LOOKUP ? "GET" : "POST") + " /"
                + scenario.kind().route() + "/" + number + " HTTP/1.1\r\nHost: office.example\r\nX-Request: " + id
                + "\r\nX-Key: k1\r\nX-Deadline: " + deadlineMs + "\r\nContent-Length: " + body.length()
                + "\r\nConnection: close\r\n\r\n" + body;
        try (Socket socket = fixture.open()) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            RawResponse response = RawResponse.readMessage(socket.getInputStream());
            if (response.status() / 100 == 2) {
                successes.incrementAndGet();
            }
            synchronized (books) {
                new TwoAnswersJudge(books)
                        .violations(scenario, id, response)
                        .forEach(found ->
                                violations.add(found + ": " + scenario + ", " + response.status() + ", " + runsOf(id)));
            }
            if (socket.getInputStream().read() >= 0) {
                violations.add("bytes after the response: " + scenario);
            }
        } catch (IOException incomplete) {
            // The client knows that it has no complete response.
        }
    }

    private List<TwoAnswersRun> runsOf(String id) {
        return books.stream().filter(run -> run.requestId().equals(id)).toList();
    }

    private static void waitMs(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
