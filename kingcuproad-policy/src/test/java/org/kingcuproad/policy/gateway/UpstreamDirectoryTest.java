package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against upstreams that are removed because of an outage of the store, and against entries that are never
 * removed.
 */
class UpstreamDirectoryTest {

    private static final long NOW_WALL_MS = 1_800_000_000_000L;
    /** Longest watch, the time after it until a connection counts as silent, and a new listing. */
    private static final long SILENT_CONNECTION_MS = 2_100;

    private static final long FOREVER_MS = Long.MAX_VALUE / 2;
    private static final UpstreamEntry FIRST = new UpstreamEntry("1", "s", "h", 1, "dc", 1, false, 0, 0);
    private static final UpstreamEntry SECOND = new UpstreamEntry("2", "s", "h", 2, "dc", 1, false, 0, 0);

    private static UpstreamDirectory directoryWithTwoEntries() {
        UpstreamDirectory directory = new UpstreamDirectory();
        directory.onStoreContact(0);
        directory.onListing(List.of(FIRST, SECOND), 0);
        return directory;
    }

    @Test
    void omitsUpstreamWhoseAddressWasTakenOverByNewerOne() {
        UpstreamDirectory directory = directoryWithTwoEntries();
        UpstreamEntry newer = new UpstreamEntry("3", "s", "h", 1, "dc", 1, false, 7, 0);

        directory.onEntry(newer);

        assertThat(directory.entries(Set.of(), NOW_WALL_MS)).containsExactlyInAnyOrder(newer, SECOND);
    }

    @Test
    void removesImmediatelyWhileStoreIsReachable() {
        UpstreamDirectory directory = directoryWithTwoEntries();
        directory.onStoreContact(1_000);

        directory.onRemoved("1", 1_000);

        assertThat(directory.entries(Set.of(), NOW_WALL_MS)).containsExactly(SECOND);
    }

    @Test
    void keepsExpiredEntriesUntilTheyReturnOrGraceEnds() {
        UpstreamDirectory directory = directoryWithTwoEntries();
        directory.onStoreContact(10_000);
        directory.onListing(List.of(), 10_000);
        assertThat(directory.entries(Set.of(), NOW_WALL_MS)).containsExactlyInAnyOrder(FIRST, SECOND);

        directory.onEntry(SECOND);
        assertThat(directory.removeExpired(10_000 + UpstreamDirectory.RECOVERY_GRACE_MS - 1))
                .isEmpty();

        assertThat(directory.removeExpired(10_000 + UpstreamDirectory.RECOVERY_GRACE_MS))
                .containsExactly("1");
        assertThat(directory.entries(Set.of(), NOW_WALL_MS)).containsExactly(SECOND);
    }

    /** Guards against an entry of another writer that hides the upstream whose address it states. */
    @Test
    void keepsAnUpstreamWhoseAddressAnUnusableEntryStates() {
        UpstreamDirectory directory = directoryWithTwoEntries();
        directory.onEntry(new UpstreamEntry("3", "unknown", "h", 1, "dc", 1, false, 7, 0));
        directory.onEntry(new UpstreamEntry("4", "s", "h", 2, "dc", 1, false, FOREVER_MS, 0));

        assertThat(directory.entries(Set.of("s"), NOW_WALL_MS)).containsExactlyInAnyOrder(FIRST, SECOND);
    }

    /** Guards against requests to an upstream that left while the connections to the store were silent. */
    @Test
    void removesAMissingUpstreamAtOnceAfterASilentConnectionWasReplaced() {
        UpstreamDirectory directory = directoryWithTwoEntries();
        directory.onStoreContact(SILENT_CONNECTION_MS);

        directory.onListing(List.of(SECOND), SILENT_CONNECTION_MS);

        assertThat(directory.entries(Set.of(), NOW_WALL_MS)).containsExactly(SECOND);
    }

    /** Guards against requests to an upstream that left while the store was silent to this gateway alone. */
    @Test
    void removesAMissingUpstreamAtOnceIfTheStoreServedAnotherGatewayThroughout() {
        UpstreamDirectory directory = directoryWithTwoEntries();
        directory.contact().onPeerReport(new StoreContact.Report(10_000, 400), 10_000);
        directory.onStoreContact(10_000);

        directory.onListing(List.of(SECOND), 10_000);

        assertThat(directory.entries(Set.of(), NOW_WALL_MS)).containsExactly(SECOND);
    }

    /** As above, where the VM was cut off from the other gateways too and hears them later than the store. */
    @Test
    void endsTheGraceOnceAnotherGatewayReportsContactThroughout() {
        UpstreamDirectory directory = directoryWithTwoEntries();
        directory.onStoreContact(10_000);
        directory.onListing(List.of(SECOND), 10_000);
        assertThat(directory.removeExpired(10_025)).isEmpty();

        directory.contact().onPeerReport(new StoreContact.Report(10_100, 30), 10_050);

        assertThat(directory.removeExpired(10_050)).containsExactly("1");
    }

    /** Guards against the loss of all upstreams because another gateway has been in contact again for some time. */
    @Test
    void keepsExpiredEntriesIfTheStoreWasAwayForAllGateways() {
        UpstreamDirectory directory = directoryWithTwoEntries();
        directory.contact().onPeerReport(new StoreContact.Report(10_000, 3_000), 9_990);
        directory.contact().onPeerReport(new StoreContact.Report(200, 0), 9_995);
        directory.onStoreContact(10_000);
        directory.onListing(List.of(), 10_000);
        directory.contact().onPeerReport(new StoreContact.Report(250, 20), 10_020);

        assertThat(directory.removeExpired(10_025)).isEmpty();
        assertThat(directory.entries(Set.of(), NOW_WALL_MS)).containsExactlyInAnyOrder(FIRST, SECOND);
    }

    /** Guards against a report about an earlier interruption that is taken for one about the latest. */
    @Test
    void keepsExpiredEntriesIfAPeerWasInContactOnlyInAnEarlierInterruption() {
        UpstreamDirectory directory = directoryWithTwoEntries();
        directory.contact().onPeerReport(new StoreContact.Report(10_000, 0), 10_000);
        directory.onStoreContact(10_000);
        directory.onStoreContact(20_000);
        directory.onListing(List.of(), 20_000);

        assertThat(directory.entries(Set.of(), NOW_WALL_MS)).containsExactlyInAnyOrder(FIRST, SECOND);
    }

    /**
     * Guards against the loss of upstreams whose entries expired in an outage too short for another gateway to count.
     */
    @Test
    void keepsExpiredEntriesIfAPeerMissedTheStoreForLongerThanAWatch() {
        UpstreamDirectory directory = directoryWithTwoEntries();
        StoreContact peer = new StoreContact();
        peer.onResponse(0);
        peer.onResponse(1_500);
        peer.onResponse(3_900);
        directory.contact().onPeerReport(peer.report(3_950), 3_950);
        directory.onStoreContact(4_000);
        directory.onListing(List.of(), 4_000);

        assertThat(directory.removeExpired(4_025)).isEmpty();
        assertThat(directory.entries(Set.of(), NOW_WALL_MS)).containsExactlyInAnyOrder(FIRST, SECOND);
    }

    /** As above, where the other gateway missed no response. */
    @Test
    void removesAMissingUpstreamAtOnceIfAPeerMissedNoResponse() {
        UpstreamDirectory directory = directoryWithTwoEntries();
        StoreContact peer = new StoreContact();
        peer.onResponse(0);
        peer.onResponse(1_500);
        peer.onResponse(3_000);
        directory.contact().onPeerReport(peer.report(3_950), 3_950);
        directory.onStoreContact(4_000);
        directory.onListing(List.of(SECOND), 4_000);

        assertThat(directory.entries(Set.of(), NOW_WALL_MS)).containsExactly(SECOND);
    }
}
