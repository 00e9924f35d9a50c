package org.kingcuproad.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.kingcuproad.emulator.platform.CallKind;
import org.kingcuproad.emulator.platform.Faults;
import org.kingcuproad.emulator.platform.Outage;
import org.kingcuproad.emulator.platform.PlatformStandIn;
import org.kingcuproad.emulator.platform.VmRecord;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.Stage;
import org.kingcuproad.platform.environment.StoredDocument;

/** Guards against documents that do not reach every process, or that revert to an older revision (H7). */
class RelayTreeTest {

    private static final String KEY = StoredDocument.key(RelayNode.ENVIRONMENT, Stage.PRODUCTION);
    private static final int ENTRIES = 4;
    private static final int AGENTS = 20;
    private static final int WAIT_LIMIT_MS = 30_000;

    private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(2);
    private final List<RelayNode> nodes = new ArrayList<>();
    private PlatformStandIn platform;

    @BeforeEach
    void start() throws Exception {
        platform = PlatformStandIn.start(RelayNode.HOST, 0);
    }

    @AfterEach
    void stop() {
        nodes.forEach(RelayNode::close);
        platform.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void everyProcessGetsEachDocumentAndOnlyRelaysWatchTheStore() throws Exception {
        startNodes();
        long revision = put();
        await("all have the first document", () -> allHave(revision));
        await("two relays are chosen", () -> relays().size() == 2);
        await("only the relays watch", () -> platform.openWatches() == 2);
        platform.resetCounts();
        long next = put();
        await("all have the second document", () -> allHave(next));
        assertThat(platform.counts().getOrDefault(CallKind.GET, 0L)).isZero();
        assertRevisionsIncrease();
    }

    @Test
    void theOtherRelayServesWhenOneDies() throws Exception {
        startNodes();
        long revision = put();
        await("all have the first document", () -> allHave(revision));
        await("two relays are chosen", () -> relays().size() == 2);
        RelayNode dead = relays().get(0);
        nodes.remove(dead);
        dead.close();
        long next = put();
        await("all others have the second document", () -> allHave(next));
        platform.removeVm("production", dead.name);
        await("another relay takes over", () -> relays().size() == 2);
        assertRevisionsIncrease();
    }

    @Test
    void documentStaysInForceThroughAnOutage() throws Exception {
        startNodes();
        long revision = put();
        await("all have the first document", () -> allHave(revision));
        platform.setFaults(Faults.NONE.withOutage(Outage.SILENT));
        Thread.sleep(2_000);
        assertThat(allHave(revision)).isTrue();
        platform.setFaults(Faults.NONE);
        long next = put();
        await("all have the second document after the outage", () -> allHave(next));
        assertRevisionsIncrease();
    }

    @Test
    void freshProcessTakesTheDocumentFromAPeerDuringAnOutage() throws Exception {
        startNodes();
        long revision = put();
        await("all have the document", () -> allHave(revision));
        platform.setFaults(Faults.NONE.withOutage(Outage.REFUSE));
        HostPort peer = nodes.get(0).address();
        RelayNode fresh = RelayNode.entryWithPeer("entry-fresh", platform.url(), peer, eventLoops);
        nodes.add(fresh);
        await("the fresh process has the document", () -> fresh.revisions.contains(revision));
    }

    private void startNodes() throws Exception {
        for (int i = 0; i < ENTRIES; i++) {
            RelayNode entry = RelayNode.entry("entry-" + i, platform.url(), eventLoops);
            nodes.add(entry);
            platform.putVm(
                    "production",
                    new VmRecord(entry.name, "entry", entry.address().toString(), "lowell", "live"));
        }
        for (int i = 0; i < AGENTS; i++) {
            nodes.add(RelayNode.agent("agent-" + i, platform.url(), eventLoops));
        }
    }

    private long put() {
        return platform.putObject(
                KEY, StoredDocument.first(TestDocument.text(), "test").encode());
    }

    private List<RelayNode> relays() {
        return nodes.stream().filter(RelayNode::relay).toList();
    }

    private boolean allHave(long revision) {
        return nodes.stream().allMatch(node -> !node.revisions.isEmpty() && node.revisions.getLast() == revision);
    }

    private void assertRevisionsIncrease() {
        assertThat(nodes)
                .allSatisfy(node -> assertThat(node.revisions).isSorted().doesNotHaveDuplicates());
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        for (int waitedMs = 0; waitedMs < WAIT_LIMIT_MS; waitedMs += 20) {
            if (condition.getAsBoolean()) {
                return;
            }
            Thread.sleep(20);
        }
        throw new AssertionError("not reached: " + what);
    }
}
