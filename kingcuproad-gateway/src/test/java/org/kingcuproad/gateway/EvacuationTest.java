package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against requests to upstreams of evacuated data centres, and against requests lost by an evacuation. */
class EvacuationTest {

    private static final String LIST = "/list";
    private static final long WITHIN_MS = 5_000;
    private static final int SLOTS = 4;
    private static final int WAITING = 2;

    private final GatewayFixture fixture;

    EvacuationTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static StoreObject<String> entry(String dataCentre) {
        return new StoreObject<>(dataCentre, Optional.of(dataCentre), "");
    }

    private FakeUpstream upstreamIn(String dataCentre) throws IOException {
        return fixture.upstreamIn(dataCentre, request -> GatewayFixture.ok(request, "{}"));
    }

    private static void awaitEvacuated(Gateway gateway, String dataCentre, boolean evacuated) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WITHIN_MS);
        while (System.nanoTime() < endNs) {
            CompletableFuture<Boolean> covered = new CompletableFuture<>();
            gateway.execute(() -> covered.complete(gateway.evacuations().covers(dataCentre)));
            if (covered.get(WITHIN_MS, TimeUnit.MILLISECONDS) == evacuated) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("evacuation of " + dataCentre + " not as expected within " + WITHIN_MS + " ms");
    }

    private void sendLookups(int count, int expectedStatus) throws IOException {
        for (int index = 0; index < count; index++) {
            assertThat(fixture.get("/IDEMPOTENT/x", "k1", "l" + index).status()).isEqualTo(expectedStatus);
        }
    }

    @Test
    void sendsWaitingRequestsElsewhereAndLetsStreamsEnd() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        StreamingUpstream.Script script = (request, output) -> {
            output.writeStreamHead(request);
            int event = 0;
            do {
                event++;
                output.writeChunk("id: " + event + "\ndata: e\n\n");
            } while (!released.await(50, TimeUnit.MILLISECONDS));
            output.write("0\r\n\r\n");
        };
        fixture.setTimeoutMs(8_000);
        fixture.setLatencyGoalMs(8_000);
        fixture.useEvacuations(LIST);
        StreamingUpstream evacuated = fixture.streamingUpstreamIn("dc1", script);
        StreamingUpstream other = fixture.streamingUpstreamIn("dc2", script);
        Gateway gateway = fixture.start();
        List<CompletableFuture<String>> streams = new ArrayList<>();
        for (int index = 0; index < 2 * SLOTS + WAITING; index++) {
            String request = GatewayFixture.postRequest("/STREAMING/draft", "s" + index, "prompt")
                    .replace("X-Deadline: 2000", "X-Deadline: 8000");
            streams.add(CompletableFuture.supplyAsync(
                    () -> {
                        try {
                            return new String(fixture.received(request), StandardCharsets.UTF_8);
                        } catch (IOException failed) {
                            return failed.toString();
                        }
                    },
                    task -> Thread.ofVirtual().start(task)));
        }
        Thread.sleep(300);
        assertThat(evacuated.requests()).hasSize(SLOTS);

        fixture.changeEvacuation(entry("dc1"), false);
        awaitEvacuated(gateway, "dc1", true);
        released.countDown();

        for (CompletableFuture<String> stream : streams) {
            assertThat(stream.get(WITHIN_MS, TimeUnit.MILLISECONDS))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("0\r\n\r\n");
        }
        assertThat(evacuated.requests()).hasSize(SLOTS);
        assertThat(other.requests()).hasSize(SLOTS + WAITING);
    }

    @Test
    void sendsNothingBeforeTheEvacuationsAreListed() throws Exception {
        fixture.useEvacuations("/late-list", "dc1");
        FakeUpstream evacuated = upstreamIn("dc1");
        FakeUpstream other = upstreamIn("dc2");
        Gateway gateway = fixture.create();
        gateway.start();
        Thread.sleep(200);

        sendLookups(1, 503);
        assertThat(other.requests()).isEmpty();

        fixture.awaitReady();
        sendLookups(5, 200);
        assertThat(evacuated.requests()).isEmpty();
    }

    @Test
    void keepsAnEvacuationWhileTheStoreIsAway() throws Exception {
        fixture.useEvacuations(LIST, "dc1");
        FakeUpstream evacuated = upstreamIn("dc1");
        upstreamIn("dc2");
        fixture.start();

        fixture.setStoreAway(true);
        Thread.sleep(1_500);
        sendLookups(5, 200);

        assertThat(evacuated.requests()).isEmpty();
    }

    /** Guards against an entry without effect because its body can't be read. */
    @Test
    void appliesAMalformedEntryByItsName() throws Exception {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        fixture.setLogOutput(log);
        fixture.useEvacuations(LIST);
        FakeUpstream evacuated = upstreamIn("dc1");
        upstreamIn("dc2");
        Gateway gateway = fixture.start();

        fixture.changeEvacuation(new StoreObject<>("dc1", Optional.empty(), "no object"), false);
        fixture.changeEvacuation(entry("nowhere"), false);
        awaitEvacuated(gateway, "dc1", true);
        sendLookups(5, 200);

        assertThat(evacuated.requests()).isEmpty();
        assertThat(log.toString(StandardCharsets.UTF_8))
                .contains("evacuation entry is malformed and applies by its name")
                .containsOnlyOnce("evacuation of an unknown data centre");
    }

    /** Guards against the end of one evacuation that ends another, and against an evacuation that never ends. */
    @Test
    void evacuatesTwoDataCentresAndReturnsToOne() throws Exception {
        fixture.useEvacuations(LIST, "dc1", "dc2");
        FakeUpstream first = upstreamIn("dc1");
        FakeUpstream second = upstreamIn("dc2");
        upstreamIn("dc3");
        Gateway gateway = fixture.start();
        sendLookups(5, 200);
        assertThat(first.requests()).isEmpty();
        assertThat(second.requests()).isEmpty();

        fixture.changeEvacuation(entry("dc2"), true);
        awaitEvacuated(gateway, "dc2", false);
        sendLookups(9, 200);

        assertThat(first.requests()).isEmpty();
        assertThat(second.requests()).isNotEmpty();
    }

    @Test
    void refusesAtOnceWhileAllDataCentresAreEvacuated() throws Exception {
        fixture.useEvacuations(LIST, "dc1", "dc2");
        FakeUpstream first = upstreamIn("dc1");
        FakeUpstream second = upstreamIn("dc2");
        fixture.start();

        long startedNs = System.nanoTime();
        RawResponse response = fixture.get("/IDEMPOTENT/x", "k1", "r1");

        assertThat(response.status()).isEqualTo(503);
        assertThat(response.head().toLowerCase(java.util.Locale.ROOT)).contains("retry-after:");
        assertThat(response.body()).contains("evacuated");
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs)).isLessThan(1_000);
        assertThat(first.requests()).isEmpty();
        assertThat(second.requests()).isEmpty();
    }

    /** Guards against calls to the store, which count against a rate limit, where nothing is evacuated. */
    @Test
    void makesNoCallWithoutTheSetting() throws Exception {
        upstreamIn("dc1");
        fixture.start();
        sendLookups(1, 200);

        assertThat(fixture.unexpectedCalls()).isZero();
    }
}
