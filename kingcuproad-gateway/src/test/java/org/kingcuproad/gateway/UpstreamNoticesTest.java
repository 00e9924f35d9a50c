package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.kingcuproad.policy.evacuation.EvacuatedDataCentres;
import org.kingcuproad.policy.gateway.UpstreamEntry;

/** Guards against requests to upstreams whose responses say that they leave or want no requests for some time. */
class UpstreamNoticesTest {

    private static final int REQUESTS = 20;
    private static final String LEAVING = "X-Leaving: 1\r\n";
    private static final String REJECTED = "X-Not-Run: 1\r\n";

    /** Time within which a request is rejected that no upstream can serve; well before its deadline of 2 s. */
    private static final long REJECTED_WITHIN_MS = 500;

    private final GatewayFixture fixture;

    UpstreamNoticesTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static FakeUpstream.Reply reply(String request, int status, String headers) {
        return new FakeUpstream.Reply(
                FakeUpstream.response(FakeUpstream.header(request, "X-Request"), status, headers, "stock"), false);
    }

    private static long sinceMs(long startedNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNs);
    }

    static Stream<Arguments> responsesOfALeavingUpstream() {
        String seal = GatewayFixture.SEAL;
        return Stream.of(
                Arguments.of(200, seal + LEAVING),
                Arguments.of(404, seal + LEAVING),
                Arguments.of(500, seal + LEAVING),
                Arguments.of(503, REJECTED + LEAVING),
                Arguments.of(200, seal + "Content-Type: text/event-stream\r\n" + LEAVING));
    }

    /** Sends orders until one has reached an upstream; a slow lookup would be cancelled before its response is read. */
    private void awaitFirstResponse(FakeUpstream upstream) throws IOException {
        for (int number = 0; upstream.requests().isEmpty() && number < REQUESTS; number++) {
            fixture.post("/NON_IDEMPOTENT/a", "first" + number, "x");
        }
    }

    @ParameterizedTest
    @MethodSource("responsesOfALeavingUpstream")
    void sendsNothingToAnUpstreamThatSaysThatItLeaves(int status, String headers) throws Exception {
        FakeUpstream leaving = fixture.upstream(request -> reply(request, status, headers));
        FakeUpstream other = fixture.upstream(request -> GatewayFixture.ok(request, "stock"));
        fixture.start();
        awaitFirstResponse(leaving);

        for (int number = 0; number < REQUESTS; number++) {
            fixture.get("/IDEMPOTENT/a", "k1", "r" + number);
            fixture.post("/NON_IDEMPOTENT/a", "s" + number, "x");
        }

        assertThat(leaving.requests()).hasSize(1);
        assertThat(other.requests()).hasSizeGreaterThanOrEqualTo(2 * REQUESTS);
    }

    @Test
    void rejectsRequestsAtOnceIfTheOnlyUpstreamLeaves() throws Exception {
        FakeUpstream leaving = fixture.upstream(request -> reply(request, 200, GatewayFixture.SEAL + LEAVING));
        fixture.start();
        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "r1").status()).isEqualTo(200);

        long startedNs = System.nanoTime();
        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "r2").status()).isEqualTo(503);
        assertThat(sinceMs(startedNs)).isLessThan(REJECTED_WITHIN_MS);
        assertThat(leaving.requests()).hasSize(1);
    }

    @Test
    void sendsNothingToAnUpstreamUntilTheTimeThatItNamed() throws Exception {
        AtomicBoolean rejected = new AtomicBoolean();
        FakeUpstream busy = fixture.upstream(request -> rejected.compareAndSet(false, true)
                ? reply(request, 503, REJECTED + "Retry-After: 0.6\r\n")
                : GatewayFixture.ok(request, "stock"));
        fixture.upstream(request -> GatewayFixture.ok(request, "stock"));
        fixture.start();
        awaitFirstResponse(busy);
        long startedNs = System.nanoTime();

        for (int number = 0; sinceMs(startedNs) < 500; number++) {
            assertThat(fixture.get("/IDEMPOTENT/a", "k1", "r" + number).body()).isEqualTo("stock");
        }
        assertThat(busy.requests()).as("requests before the time").hasSize(1);

        Thread.sleep(200);
        for (int number = 0; number < REQUESTS; number++) {
            fixture.get("/IDEMPOTENT/a", "k1", "later" + number);
        }
        assertThat(busy.requests()).as("requests after the time").hasSizeGreaterThan(1);
    }

    @Test
    void rejectsRequestsAtOnceIfAllUpstreamsReturnTooLate() throws Exception {
        fixture.upstream(request -> reply(request, 503, REJECTED + "Retry-After: 30\r\n"));
        fixture.start();
        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "r1").status()).isEqualTo(503);

        long startedNs = System.nanoTime();
        RawResponse response = fixture.get("/IDEMPOTENT/a", "k1", "r2");

        assertThat(response.status()).isEqualTo(503);
        assertThat(sinceMs(startedNs)).isLessThan(REJECTED_WITHIN_MS);
        assertThat(Double.parseDouble(response.header("Retry-After").orElseThrow()))
                .isBetween(28.0, 30.0);
    }

    @Test
    void waitsForAnUpstreamThatReturnsInTime() throws Exception {
        AtomicBoolean rejected = new AtomicBoolean();
        fixture.upstream(request -> rejected.compareAndSet(false, true)
                ? reply(request, 503, REJECTED + "Retry-After: 0.4\r\n")
                : GatewayFixture.ok(request, "stock"));
        fixture.start();
        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "r1").status()).isEqualTo(503);

        long startedNs = System.nanoTime();
        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "r2").body()).isEqualTo("stock");
        assertThat(sinceMs(startedNs)).isBetween(300L, 1_000L);
    }

    /** Guards against an older listing that makes a leaving upstream usable again. */
    @Test
    void remembersThatAnIncarnationLeavesAlthoughItIsListedAgain() {
        UpstreamPool pool = new UpstreamPool(new EvacuatedDataCentres(false));
        UpstreamEntry entry = new UpstreamEntry("u", "desk", "127.0.0.1", 80, "dc", 4, false, 5, 0);
        pool.update(List.of(entry), 0);
        pool.list().getFirst().setLeaving();

        pool.update(List.of(), 0);
        pool.update(List.of(entry), 0);
        assertThat(pool.anyUsable()).isFalse();

        pool.update(List.of(new UpstreamEntry("u", "desk", "127.0.0.1", 80, "dc", 4, false, 6, 0)), 0);
        assertThat(pool.anyUsable()).isTrue();
    }
}
