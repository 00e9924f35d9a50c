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
}
