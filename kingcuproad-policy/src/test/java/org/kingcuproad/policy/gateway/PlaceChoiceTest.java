package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against requests that go to full, failing, slow or unevenly loaded upstreams while better ones have room. */
class PlaceChoiceTest {

    private static PlaceCandidate candidate(int inFlight, double unreadTokens, double latencyMs, double pace) {
        return new PlaceCandidate(inFlight, 8, unreadTokens, latencyMs, 0, pace, false, true);
    }

    @Test
    void findsNothingWhenAllAreFull() {
        assertThat(PlaceChoice.choose(List.of(candidate(8, 0, 10, 1)), true, 0)).isEmpty();
    }

    @Test
    void spreadsUnreadPromptsOverRanks() {
        assertThat(PlaceChoice.choose(List.of(candidate(2, 3_000, 10, 1), candidate(4, 0, 10, 1)), true, 0))
                .hasValue(1);
    }

    @Test
    void avoidsASlowRankUntilOthersAreNearlyFull() {
        assertThat(PlaceChoice.choose(List.of(candidate(0, 0, 10, 12), candidate(7, 0, 10, 1)), true, 0))
                .hasValue(1);
    }

    @Test
    void prefersFastPlainUpstreams() {
        assertThat(PlaceChoice.choose(List.of(candidate(0, 0, 200, 1), candidate(2, 0, 20, 1)), false, 0))
                .hasValue(1);
    }

    @Test
    void avoidsFailingUpstreams() {
        PlaceCandidate failing = new PlaceCandidate(0, 8, 0, 20, 0.6, 1, false, true);

        assertThat(PlaceChoice.choose(List.of(failing, candidate(1, 0, 20, 1)), false, 0))
                .hasValue(1);
    }

    @Test
    void takesTurnsAmongEqualUpstreams() {
        List<PlaceCandidate> equal = List.of(candidate(0, 0, 10, 1), candidate(0, 0, 10, 1));

        assertThat(PlaceChoice.choose(equal, true, 0)).hasValue(0);
        assertThat(PlaceChoice.choose(equal, true, 1)).hasValue(1);
    }
}
