package org.kingcuproad.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.kingcuproad.emulator.engine.ChatText;
import org.kingcuproad.emulator.engine.EngineSettings;
import org.kingcuproad.emulator.platform.Faults;
import org.kingcuproad.emulator.platform.Outage;
import org.kingcuproad.emulator.service.ServiceSettings;

/** Guards the promises to callers (H2 to H6) against faults between and of the processes. */
class FaultTest {

    private static final int STREAMS = 24;
    private static final int TOKENS = 120;
    private static final EngineSettings SLOW_ENGINE =
            EngineSettings.of(LocalSystem.HOST, 0).withSpeed(20, 30);

    private final LocalSystem system = new LocalSystem();

    @AfterEach
    void stop() {
        system.close();
    }

    @Test
    void streamsArriveWholeWhenTheirConnectionsGoSilent() throws Exception {
        Caller caller = startEngines();
        List<CompletableFuture<HttpResponse<String>>> streams = startStreams(caller);
        Thread.sleep(600);
        system.faults.forEach(TcpFault::silence);
        assertWhole(streams);
    }

    @Test
    void streamsArriveWholeWhenTheirConnectionsAreCut() throws Exception {
        Caller caller = startEngines();
        List<CompletableFuture<HttpResponse<String>>> streams = startStreams(caller);
        for (int cut = 0; cut < 3; cut++) {
            Thread.sleep(600);
            system.faults.forEach(TcpFault::cut);
        }
        assertWhole(streams);
    }

    @Test
    void leavingAgentFinishesItsStreamsAndNoCallerSeesAnError() throws Exception {
        Caller caller = startEngines();
        List<CompletableFuture<HttpResponse<String>>> streams = startStreams(caller);
        Thread.sleep(300);
        CompletableFuture<Void> drained = system.agents.get(0).drain();
        List<CompletableFuture<HttpResponse<String>>> later = startStreams(caller);
        assertWhole(streams);
        assertWhole(later);
        drained.get(30, TimeUnit.SECONDS);
    }

    @Test
    void drainingEntryFinishesItsStreams() throws Exception {
        Caller caller = startEngines();
        List<CompletableFuture<HttpResponse<String>>> streams = startStreams(caller);
        Thread.sleep(300);
        CompletableFuture<Void> drained = system.entries.get(0).drain();
        assertWhole(streams);
        drained.get(30, TimeUnit.SECONDS);
    }

    @Test
    void orderRetriedThroughAnotherEntryRunsOnceAndGetsTheSameResponse() throws Exception {
        startServices();
        HttpResponse<String> first =
                new Caller(system.entries.get(0)).order("key-1").get();
        system.entries.get(0).close();
        HttpResponse<String> second =
                new Caller(system.entries.get(1)).order("key-1").get();
        assertThat(first.statusCode()).isEqualTo(201);
        assertThat(second.statusCode()).isEqualTo(201);
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(system.ordersRun()).isEqualTo(1);
    }

    @Test
    void orderRetriedAfterItsAgentRestartedRunsOnce() throws Exception {
        startServices();
        Caller caller = new Caller(system.entries.get(1));
        HttpResponse<String> first = caller.order("key-1").get();
        // The outcome reaches the claim log with a later batch.
        Thread.sleep(1_500);
        for (int agent = 0; agent < system.agents.size(); agent++) {
            system.restartAgent(agent);
        }
        caller.awaitServing(caller::stock);
        HttpResponse<String> second = caller.order("key-1").get();
        assertThat(first.statusCode()).isEqualTo(201);
        assertThat(second.statusCode()).isEqualTo(201);
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(system.ordersRun()).isEqualTo(1);
    }

    @Test
    void orderDuringAStoreOutageIsRefusedAsNotRunAndRunsLater() throws Exception {
        startServices();
        Caller caller = new Caller(system.entries.get(0));
        system.platform.orElseThrow().setFaults(Faults.NONE.withOutage(Outage.REFUSE));
        HttpResponse<String> refused = caller.order("key-1").get();
        assertThat(refused.body()).contains("\"kind\":\"store-unavailable\"", "\"execution\":\"not-run\"");
        assertThat(system.ordersRun()).isZero();
        HttpResponse<String> withoutKey = caller.order("").get();
        assertThat(withoutKey.statusCode()).isEqualTo(201);
        system.platform.orElseThrow().setFaults(Faults.NONE);
        caller.awaitServing(caller::stock);
        HttpResponse<String> later = retryUntilClaimed(caller);
        assertThat(later.statusCode()).isEqualTo(201);
        assertThat(system.ordersRun()).isEqualTo(2);
    }

    @Test
    void boundKeyWorksInAStoreOutageAndIsUnknownAfterItsAgentRestarted() throws Exception {
        startServices();
        Caller caller = new Caller(system.entries.get(0));
        String key = caller.boundKey("/orders").get();
        system.platform.orElseThrow().setFaults(Faults.NONE.withOutage(Outage.REFUSE));
        HttpResponse<String> first = caller.order(key).get();
        HttpResponse<String> second = caller.order(key).get();
        assertThat(first.statusCode()).isEqualTo(201);
        assertThat(second.body()).isEqualTo(first.body());
        for (int agent = 0; agent < system.agents.size(); agent++) {
            system.restartAgent(agent);
        }
        caller.awaitServing(caller::stock);
        HttpResponse<String> third = caller.order(key).get();
        assertThat(third.body()).contains("\"kind\":\"outcome-unknown\"", "\"execution\":\"unknown\"");
        assertThat(system.ordersRun()).isEqualTo(1);
    }

    @Test
    void orderRunsOnceWhenTheStoreLosesTheResponseToItsClaim() throws Exception {
        startServices();
        Caller caller = new Caller(system.entries.get(0));
        system.platform.orElseThrow().setFaults(Faults.NONE.withLostWriteResponses(1));
        HttpResponse<String> first = caller.order("key-1").get();
        HttpResponse<String> second = caller.order("key-1").get();
        assertThat(first.statusCode()).isEqualTo(201);
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(system.ordersRun()).isEqualTo(1);
    }

    @Test
    void concurrentAttemptsWithOneKeyThroughTwoEntriesRunOnce() throws Exception {
        startServices();
        List<CompletableFuture<HttpResponse<String>>> attempts = IntStream.range(0, 20)
                .mapToObj(i -> new Caller(system.entries.get(i % 2)).order("key-1"))
                .toList();
        attempts.forEach(attempt -> assertThat(attempt.join().statusCode()).isEqualTo(201));
        assertThat(system.ordersRun()).isEqualTo(1);
    }

    private HttpResponse<String> retryUntilClaimed(Caller caller) throws Exception {
        HttpResponse<String> response = caller.order("key-1").get();
        for (int i = 0; i < 100 && response.statusCode() == 503; i++) {
            Thread.sleep(100);
            response = caller.order("key-1").get();
        }
        return response;
    }

    private Caller startEngines() throws Exception {
        system.withFaults().withEngine(SLOW_ENGINE).withEngine(SLOW_ENGINE).withEntry("entry-1");
        Caller caller = new Caller(system.entries.get(0));
        caller.awaitServing(() -> caller.chat(1, false));
        return caller;
    }

    private void startServices() throws Exception {
        ServiceSettings service = ServiceSettings.of(LocalSystem.HOST, 0).withProcessingMs(20);
        system.withPlatform()
                .withService(service)
                .withService(service)
                .withEntry("entry-1")
                .withEntry("entry-2");
        for (var entry : system.entries) {
            Caller caller = new Caller(entry);
            caller.awaitServing(caller::stock);
        }
    }

    private static List<CompletableFuture<HttpResponse<String>>> startStreams(Caller caller) {
        return IntStream.range(0, STREAMS)
                .mapToObj(i -> caller.chat(TOKENS, true))
                .toList();
    }

    private static void assertWhole(List<CompletableFuture<HttpResponse<String>>> streams) {
        streams.stream().map(CompletableFuture::join).forEach(response -> {
            assertThat(response.statusCode()).isEqualTo(200);
            String id = response.headers().firstValue("x-request-id").orElseThrow();
            assertThat(response.body()).isEqualTo(ChatText.streamedBody(id, "refill-drafter", TOKENS));
        });
    }
}
