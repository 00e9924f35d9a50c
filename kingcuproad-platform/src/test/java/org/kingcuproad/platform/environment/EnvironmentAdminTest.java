package org.kingcuproad.platform.environment;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.kingcuproad.config.CanonicalJson;
import org.kingcuproad.emulator.platform.Faults;
import org.kingcuproad.emulator.platform.Outage;
import org.kingcuproad.emulator.platform.PlatformStandIn;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.Stage;
import org.kingcuproad.platform.HttpObjectStore;
import org.kingcuproad.platform.ObjectStore;
import org.kingcuproad.platform.ObjectStoreSettings;

/** Guards against lost edits, doubtful answers, and documents in production that nobody has tried. */
class EnvironmentAdminTest {

    private static final String ENVIRONMENT = "sample";

    private PlatformStandIn platform;
    private ObjectStore store;
    private EnvironmentAdmin admin;

    @BeforeEach
    void start() throws Exception {
        platform = PlatformStandIn.start("127.0.0.1", 0);
        store = HttpObjectStore.open(ObjectStoreSettings.of(platform.url()).withRequestTimeoutMs(500));
        admin = new EnvironmentAdmin(store);
    }

    @AfterEach
    void stop() {
        store.close();
        platform.close();
    }

    @Test
    void oneOfRacingOperatorsWinsAndTheOthersLearnBothRevisions() throws Exception {
        long base = accepted(await(admin.putTrial(ENVIRONMENT, document(1), 0, "first")));
        List<CompletableFuture<AdminResult>> calls = IntStream.range(0, 10)
                .mapToObj(index -> admin.putTrial(ENVIRONMENT, document(index + 2), base, "op-" + index))
                .toList();
        CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new)).get(30, TimeUnit.SECONDS);
        List<AdminResult> results = calls.stream().map(CompletableFuture::join).toList();
        List<Long> winners = results.stream()
                .filter(AdminResult.Accepted.class::isInstance)
                .map(EnvironmentAdminTest::accepted)
                .toList();
        assertThat(winners).hasSize(1);
        assertThat(results)
                .filteredOn(AdminResult.Conflict.class::isInstance)
                .hasSize(9)
                .containsOnly(new AdminResult.Conflict(Stage.TRIAL, base, winners.get(0)));
    }

    @Test
    void aLostResponseIsSettledByTheOperationId() throws Exception {
        platform.setFaults(Faults.NONE.withLostWriteResponses(1));
        long trial = accepted(await(admin.putTrial(ENVIRONMENT, document(1), 0, "op-1")));
        platform.setFaults(Faults.NONE.withLostWriteResponses(1));
        long production = accepted(await(admin.promote(ENVIRONMENT, trial, 0, "op-2")));
        assertThat(production).isGreaterThan(trial);
    }

    @Test
    void aRepeatedCallGetsTheFirstAnswerEvenAfterLaterWrites() throws Exception {
        long first = accepted(await(admin.putTrial(ENVIRONMENT, document(1), 0, "op-1")));
        long production = accepted(await(admin.promote(ENVIRONMENT, first, 0, "op-2")));
        long second = accepted(await(admin.putTrial(ENVIRONMENT, document(2), first, "op-3")));
        accepted(await(admin.promote(ENVIRONMENT, second, production, "op-4")));
        assertThat(accepted(await(admin.putTrial(ENVIRONMENT, document(1), 0, "op-1"))))
                .isEqualTo(first);
        assertThat(accepted(await(admin.promote(ENVIRONMENT, first, 0, "op-2"))))
                .isEqualTo(production);
    }

    @Test
    void anOperationIdIsNotReusedForAnotherDocument() throws Exception {
        long base = accepted(await(admin.putTrial(ENVIRONMENT, document(1), 0, "op-1")));
        assertThat(await(admin.putTrial(ENVIRONMENT, document(2), base, "op-1")))
                .isInstanceOfSatisfying(
                        AdminResult.Refused.class,
                        refused -> assertThat(refused.kind()).isEqualTo(ErrorKind.KEY_REUSED));
    }

    @Test
    void aTrialRevisionThatIsNoLongerCurrentIsNotPromoted() throws Exception {
        long first = accepted(await(admin.putTrial(ENVIRONMENT, document(1), 0, "op-1")));
        long second = accepted(await(admin.putTrial(ENVIRONMENT, document(2), first, "op-2")));
        assertThat(await(admin.promote(ENVIRONMENT, first, 0, "op-3")))
                .isEqualTo(new AdminResult.Conflict(Stage.TRIAL, first, second));
        assertThat(platform.object("environments/sample/production")).isEmpty();
    }

    @Test
    void promoteReplacesOnlyTheNamedProductionRevisionByTheCanonicalForm() throws Exception {
        long trial = accepted(await(admin.putTrial(ENVIRONMENT, document(1), 0, "op-1")));
        long production = accepted(await(admin.promote(ENVIRONMENT, trial, 0, "op-2")));
        assertThat(await(admin.promote(ENVIRONMENT, trial, 0, "op-3")))
                .isEqualTo(new AdminResult.Conflict(Stage.PRODUCTION, 0, production));
        byte[] canonical = CanonicalJson.of(document(1));
        assertThat(await(admin.read(ENVIRONMENT, Stage.PRODUCTION)))
                .isInstanceOfSatisfying(
                        AdminResult.Current.class,
                        current -> assertThat(current.document().text()).isEqualTo(canonical));
    }

    @Test
    void mistakesAndForeignDocumentsAreRefused() throws Exception {
        byte[] invalid = "{}".getBytes(StandardCharsets.UTF_8);
        assertThat(await(admin.putTrial(ENVIRONMENT, invalid, 0, "op-1"))).isInstanceOf(AdminResult.Invalid.class);
        assertThat(await(admin.putTrial("other", document(1), 0, "op-1"))).isInstanceOf(AdminResult.Invalid.class);
        assertThat(await(admin.putTrial(ENVIRONMENT, document(1), 0, "op 1"))).isInstanceOf(AdminResult.Refused.class);
    }

    @Test
    void anOutageIsReportedAsSuch() throws Exception {
        platform.setFaults(Faults.NONE.withOutage(Outage.REFUSE));
        assertThat(await(admin.putTrial(ENVIRONMENT, document(1), 0, "op-1")))
                .isInstanceOf(AdminResult.Unavailable.class);
    }

    @Test
    void aRegionOfTheTwoYearSizeFitsIntoTheStore() throws Exception {
        // 7,700 upstreams in 3 regions, and 7,500 workspaces that every region serves.
        byte[] large = document(1, 2_567, 7_500);
        int storedBytes = StoredDocument.first(large, "op-1").encode().length;
        assertThat(storedBytes).isLessThan(ObjectStore.MAX_VALUE_BYTES);
        long trial = accepted(await(admin.putTrial(ENVIRONMENT, large, 0, "op-1")));
        accepted(await(admin.promote(ENVIRONMENT, trial, 0, "op-2")));
    }

    private static byte[] document(int weight) {
        return document(weight, 1, 1);
    }

    private static byte[] document(int weight, int upstreams, int workspaces) {
        String upstreamList = IntStream.range(0, upstreams)
                .mapToObj(index -> """
                        {"name": "orders-%d", "vm": "vm-%d", "dataCentre": "lowell", "kind": "service", "group": "orders"}
                        """.formatted(index, index))
                .collect(Collectors.joining(","));
        String workspaceList = IntStream.range(0, workspaces)
                .mapToObj(index -> """
                        {"name": "workspace-%d", "credentialSha256": "%s"}
                        """.formatted(index, sha256("credential " + index)))
                .collect(Collectors.joining(","));
        return """
                {
                  "environment": "sample", "region": "new-england", "dataCentres": ["lowell"], // one is enough
                  "services": [
                    {"name": "orders", "routes": [{"pathPrefix": "/orders", "methods": ["POST"], "idempotent": false}]}
                  ],
                  "upstreams": [%s],
                  "workspaces": [%s],
                  "placement": {
                    "skewWeight": %d, "rebalanceWeight": 1, "weightStoreBytesPerSecond": 1, "expertBytes": 1
                  }
                }
                """.formatted(upstreamList, workspaceList, weight).getBytes(StandardCharsets.UTF_8);
    }

    private static String sha256(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException failure) {
            throw new AssertionError(failure);
        }
    }

    private static long accepted(AdminResult result) {
        assertThat(result).isInstanceOf(AdminResult.Accepted.class);
        return ((AdminResult.Accepted) result).revision();
    }

    private static <T> T await(CompletableFuture<T> future) throws Exception {
        return future.get(30, TimeUnit.SECONDS);
    }
}
