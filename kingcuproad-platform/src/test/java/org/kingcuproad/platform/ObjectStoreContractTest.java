package org.kingcuproad.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.kingcuproad.emulator.platform.CallKind;
import org.kingcuproad.emulator.platform.Faults;
import org.kingcuproad.emulator.platform.Outage;
import org.kingcuproad.emulator.platform.PlatformStandIn;
import org.kingcuproad.emulator.platform.VmRecord;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.Stage;

/** Guards against a client that reports another outcome than the store's, with and without faults. */
class ObjectStoreContractTest {

    private static final int REQUEST_TIMEOUT_MS = 800;
    private static final long SLOWER_THAN_TIMEOUT_MS = 1_200;
    private static final String KEY = "environments/sample/trial";

    private PlatformStandIn platform;
    private ObjectStore store;

    @BeforeEach
    void start() throws Exception {
        platform = PlatformStandIn.start("127.0.0.1", 0);
        store = HttpObjectStore.open(ObjectStoreSettings.of(platform.url()).withRequestTimeoutMs(REQUEST_TIMEOUT_MS));
    }

    @AfterEach
    void stop() {
        store.close();
        platform.close();
    }

    @Test
    void writesOnlyIfTheConditionHolds() throws Exception {
        long first = written(await(store.create(KEY, bytes("a"))));
        assertThat(await(store.create(KEY, bytes("b")))).isEqualTo(new WriteResult.VersionConflict(first));
        long second = written(await(store.update(KEY, bytes("c"), first)));
        assertThat(second).isGreaterThan(first);
        assertThat(await(store.update(KEY, bytes("d"), first))).isEqualTo(new WriteResult.VersionConflict(second));
        assertThat(await(store.delete(KEY, first))).isEqualTo(new WriteResult.VersionConflict(second));
        assertThat(await(store.get(KEY)))
                .isInstanceOfSatisfying(
                        ReadResult.Found.class,
                        found -> assertThat(found.object().value()).isEqualTo(bytes("c")));
        assertThat(written(await(store.delete(KEY, second)))).isGreaterThan(second);
        assertThat(await(store.get(KEY))).isEqualTo(new ReadResult.Absent());
        assertThat(await(store.update(KEY, bytes("e"), second))).isEqualTo(new WriteResult.VersionConflict(0));
    }

    @Test
    void listsKeysWithThePrefixOnly() throws Exception {
        long first = written(await(store.create("claims/e/1/1", bytes("a"))));
        long second = written(await(store.create("claims/e/10/1", bytes("b"))));
        assertThat(await(store.list("claims/e/1/")))
                .isEqualTo(new ListResult.Listed(List.of(new ObjectVersion("claims/e/1/1", first)), second));
    }

    static Stream<Arguments> writeFaults() {
        Faults none = Faults.NONE;
        return Stream.of(
                Arguments.of("answered with 503", none.withOutage(Outage.REFUSE), false, true, false),
                Arguments.of("no answer", none.withOutage(Outage.SILENT), false, true, false),
                Arguments.of("slow but in time", none.withSlowMs(20), true, false, true),
                Arguments.of("applied after the timeout", none.withSlowMs(SLOWER_THAN_TIMEOUT_MS), false, true, true),
                Arguments.of("response lost", none.withLostWriteResponses(1), false, true, true));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("writeFaults")
    void reportsAWriteAsAppliedOnlyIfItIsCertain(
            String fault, Faults faults, boolean isWritten, boolean maybeApplied, boolean applied) throws Exception {
        platform.setFaults(faults);
        WriteResult result = await(store.create(KEY, bytes("a")));
        if (isWritten) {
            assertThat(result).isInstanceOf(WriteResult.Written.class);
        } else {
            assertThat(result)
                    .isInstanceOfSatisfying(
                            WriteResult.Unavailable.class,
                            lost -> assertThat(lost.maybeApplied()).isEqualTo(maybeApplied));
        }
        platform.setFaults(Faults.NONE);
        while (applied && platform.object(KEY).isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertThat(platform.object(KEY).isPresent()).isEqualTo(applied);
        assertThat(platform.counts())
                .as("a write is never sent twice by itself")
                .containsEntry(CallKind.CREATE, 1L);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("writeFaults")
    void settlesAWriteOnceTheStoreAnswersAgain(
            String fault, Faults faults, boolean isWritten, boolean maybeApplied, boolean applied) throws Exception {
        SettlingWriter writer = new SettlingWriter(store, 10_000);
        platform.setFaults(faults);
        CompletableFuture<WriteResult> result = writer.create(KEY, bytes("op-1"), carrying("op-1"));
        if (faults.outage() != Outage.NONE || faults.slowMs() > REQUEST_TIMEOUT_MS) {
            TimeUnit.MILLISECONDS.sleep(2 * REQUEST_TIMEOUT_MS);
            platform.setFaults(Faults.NONE);
        }
        assertThat(await(result)).isInstanceOf(WriteResult.Written.class);
        assertThat(platform.object(KEY))
                .hasValueSatisfying(value -> assertThat(value).isEqualTo(bytes("op-1")));
    }

    @Test
    void settlingLeavesTheWriteOpenWhenTheOutageLasts() throws Exception {
        platform.setFaults(Faults.NONE.withOutage(Outage.REFUSE));
        assertThat(await(new SettlingWriter(store, 100).create(KEY, bytes("op-1"), carrying("op-1"))))
                .isInstanceOfSatisfying(
                        WriteResult.Unavailable.class,
                        lost -> assertThat(lost.maybeApplied()).isTrue());
    }

    @Test
    void settlingReportsTheConflictWhenAnotherWriterWon() throws Exception {
        platform.setFaults(Faults.NONE.withOutage(Outage.SILENT));
        CompletableFuture<WriteResult> result =
                new SettlingWriter(store, 10_000).create(KEY, bytes("op-1"), carrying("op-1"));
        awaitCall(CallKind.CREATE);
        long version = platform.putObject(KEY, bytes("op-2"));
        platform.setFaults(Faults.NONE);
        assertThat(await(result)).isEqualTo(new WriteResult.VersionConflict(version));
    }

    @Test
    void settlingFindsTheOwnWriteBelowALaterOne() throws Exception {
        platform.setFaults(Faults.NONE.withOutage(Outage.SILENT));
        OwnWrite tracedAsVersionSeven =
                found -> text(found).contains("op-1") ? OptionalLong.of(7) : OptionalLong.empty();
        CompletableFuture<WriteResult> result =
                new SettlingWriter(store, 10_000).update(KEY, bytes("op-1"), 3, tracedAsVersionSeven);
        awaitCall(CallKind.UPDATE);
        platform.putObject(KEY, bytes("op-2 after op-1"));
        platform.setFaults(Faults.NONE);
        assertThat(await(result)).isEqualTo(new WriteResult.Written(7));
    }

    @Test
    void aClosedClientIsUnavailable() throws Exception {
        store.close();
        assertThat(await(store.get(KEY))).isInstanceOf(ReadResult.Unavailable.class);
        assertThat(await(store.create(KEY, bytes("a")))).isInstanceOf(WriteResult.Unavailable.class);
    }

    @Test
    void oneOfManyRacingWritersWins() throws Exception {
        platform.setFaults(Faults.NONE.withLostWriteResponses(1));
        SettlingWriter writer = new SettlingWriter(store, 10_000);
        var results = IntStream.range(0, 20)
                .mapToObj(index -> "op-" + (index + 100))
                .map(id -> writer.create(KEY, bytes(id), carrying(id)))
                .toList();
        int winners = 0;
        for (CompletableFuture<WriteResult> result : results) {
            winners += await(result) instanceof WriteResult.Written ? 1 : 0;
        }
        assertThat(winners).isEqualTo(1);
    }

    @Test
    void aRefusedConnectionLeavesNoDoubt() throws Exception {
        platform.close();
        assertThat(await(store.create(KEY, bytes("a"))))
                .isInstanceOfSatisfying(
                        WriteResult.Unavailable.class,
                        lost -> assertThat(lost.maybeApplied()).isFalse());
        assertThat(await(store.get(KEY))).isInstanceOf(ReadResult.Unavailable.class);
        assertThat(await(store.list(""))).isInstanceOf(ListResult.Unavailable.class);
    }

    @Test
    void showsTheListOfVmsWithItsLag() throws Exception {
        platform.putVm("trial", new VmRecord("vm-1", "upstream", "10.0.0.1:9090", "lowell", "live"));
        Vm expected = new Vm("vm-1", VmRole.UPSTREAM, new HostPort("10.0.0.1", 9090), "lowell", VmState.LIVE);
        assertThat(await(store.vms(Stage.TRIAL))).isEqualTo(new VmListResult.Listed(List.of(expected)));
        assertThat(await(store.vms(Stage.PRODUCTION))).isEqualTo(new VmListResult.Listed(List.of()));
        platform.setVmLagMs(3_600_000);
        assertThat(await(store.vms(Stage.TRIAL))).isEqualTo(new VmListResult.Listed(List.of()));
    }

    /** Waits until a call has met the faults, so that a later change of the faults does not affect it. */
    private void awaitCall(CallKind kind) throws InterruptedException {
        while (platform.counts().getOrDefault(kind, 0L) == 0) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    private static OwnWrite carrying(String operationId) {
        return found -> text(found).equals(operationId) ? OptionalLong.of(found.version()) : OptionalLong.empty();
    }

    private static String text(StoredObject found) {
        return new String(found.value(), StandardCharsets.UTF_8);
    }

    private static long written(WriteResult result) {
        assertThat(result).isInstanceOf(WriteResult.Written.class);
        return ((WriteResult.Written) result).version();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static <T> T await(CompletableFuture<T> future) throws Exception {
        return future.get(30, TimeUnit.SECONDS);
    }
}
