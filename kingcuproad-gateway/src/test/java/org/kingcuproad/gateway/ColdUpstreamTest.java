package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against more requests to a cold upstream than it survives. */
class ColdUpstreamTest {

    private static final long COLD_MS = 3_000;

    /** A gateway that does not know the others yet sends one request in 1.7 s. */
    private static final int MOST_WHILE_COLD = 2;

    private final GatewayFixture fixture;

    ColdUpstreamTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private FakeUpstream upstreamIn(String dataCentre) throws IOException {
        return fixture.upstreamIn(dataCentre, request -> GatewayFixture.ok(request, "{}"));
    }

    /** Starts an upstream to which the cold one is preferred when it may get requests. */
    private void slowUpstreamIn(String dataCentre) throws IOException {
        fixture.upstreamIn(dataCentre, request -> {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
            return GatewayFixture.ok(request, "{}");
        });
    }

    /** Returns how many requests were sent within the time; all have to be answered. */
    private int sendLookups(long forMs) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(forMs);
        int sent = 0;
        while (System.nanoTime() < endNs) {
            sent++;
            assertThat(fixture.get("/IDEMPOTENT/x", "k1", "l" + sent).status()).isEqualTo(200);
            Thread.sleep(5);
        }
        return sent;
    }

    @Test
    void sendsFewRequestsWhileAnUpstreamIsCold() throws Exception {
        fixture.setColdPerSecond(26);
        FakeUpstream cold = upstreamIn("dc1");
        slowUpstreamIn("dc2");
        fixture.start();
        fixture.reportCold(0, COLD_MS);
        Thread.sleep(1_000);
        int before = cold.requests().size();

        sendLookups(1_900);

        assertThat(cold.requests().size() - before).isBetween(1, MOST_WHILE_COLD);
    }

    /** Guards against a cold data centre that gets all requests when its evacuation ends and the store fails. */
    @Test
    void keepsToTheRateOfAReturningDataCentreWhileTheStoreIsAway() throws Exception {
        fixture.setColdPerSecond(26);
        fixture.useEvacuations("/list", "dc1");
        FakeUpstream cold = upstreamIn("dc1");
        slowUpstreamIn("dc2");
        fixture.start();
        fixture.reportCold(0, COLD_MS);
        fixture.changeEvacuation(new StoreObject<>("dc1", Optional.of("dc1"), ""), true);
        Thread.sleep(1_000);
        fixture.setStoreAway(true);

        sendLookups(1_900);
        assertThat(cold.requests().size()).isBetween(1, MOST_WHILE_COLD);

        Thread.sleep(1_000);
        int sent = sendLookups(300);
        assertThat(cold.requests().size()).as("of %d when warm again", sent).isGreaterThan(MOST_WHILE_COLD);
    }

    /** Guards against limits where the service states none. */
    @Test
    void doesNotLimitAServiceWithoutARate() throws Exception {
        FakeUpstream cold = upstreamIn("dc1");
        fixture.start();
        fixture.reportCold(0, COLD_MS);
        Thread.sleep(1_000);

        int sent = sendLookups(500);

        assertThat(cold.requests()).hasSize(sent);
    }

    /** Guards against a larger share because peers have fallen silent, and against shares of too few gateways. */
    @Test
    void countsSilentPeersAndTakesOneListingForIncomplete() {
        PeerLoads peers = new PeerLoads();
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
        peers.onListed("g2", address, 0);
        peers.onListingEnd();
        assertThat(peers.complete()).isFalse();
        peers.onMessage("g3", address, Map.of(), 10);
        peers.onListingEnd();

        assertThat(peers.addresses(60_000)).isEmpty();
        assertThat(peers.complete()).isTrue();
        assertThat(peers.largestCount()).isEqualTo(2);
    }
}
