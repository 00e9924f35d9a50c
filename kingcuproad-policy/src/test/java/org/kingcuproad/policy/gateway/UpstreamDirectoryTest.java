package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against upstreams that are forgotten because the store was away, and against those that are kept for good. */
class UpstreamDirectoryTest {

    private static final UpstreamEntry ONE = new UpstreamEntry("1", "s", "h", 1, "dc", 1, false, 0);
    private static final UpstreamEntry TWO = new UpstreamEntry("2", "s", "h", 2, "dc", 1, false, 0);

    private static UpstreamDirectory filled() {
        UpstreamDirectory directory = new UpstreamDirectory();
        directory.onContact(0);
        directory.onListing(List.of(ONE, TWO), 0);
        return directory;
    }

    @Test
    void forgetsAnUpstreamWhoseAddressAYoungerOneHas() {
        UpstreamDirectory directory = filled();
        UpstreamEntry younger = new UpstreamEntry("3", "s", "h", 1, "dc", 1, false, 7);

        directory.onEntry(younger);

        assertThat(directory.entries()).containsExactlyInAnyOrder(younger, TWO);
    }

    @Test
    void removesAtOnceWhileTheStoreIsInContact() {
        UpstreamDirectory directory = filled();
        directory.onContact(1_000);

        directory.onRemoved("1", 1_000);

        assertThat(directory.entries()).containsExactly(TWO);
    }

    @Test
    void keepsLapsedEntriesUntilTheyAreBackOrTheGraceEnds() {
        UpstreamDirectory directory = filled();
        directory.onContact(10_000);
        directory.onListing(List.of(), 10_000);
        assertThat(directory.entries()).containsExactlyInAnyOrder(ONE, TWO);

        directory.onEntry(TWO);
        assertThat(directory.expire(10_000 + UpstreamDirectory.RETURN_GRACE_MS - 1))
                .isEmpty();

        assertThat(directory.expire(10_000 + UpstreamDirectory.RETURN_GRACE_MS)).containsExactly("1");
        assertThat(directory.entries()).containsExactly(TWO);
    }
}
