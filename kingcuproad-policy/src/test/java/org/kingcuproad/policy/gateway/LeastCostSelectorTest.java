package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that are sent to full, failing, slow or unevenly loaded upstreams while better ones have
 * capacity.
 */
class LeastCostSelectorTest {

    private static UpstreamCandidate candidate(
            int inFlight, double pendingPrefillTokens, double latencyMs, double slowdown) {
        return new UpstreamCandidate(inFlight, 8, pendingPrefillTokens, latencyMs, 0, slowdown, false, true);
    }

    @Test
    void selectsNothingWhenAllAreFull() {
        assertThat(LeastCostSelector.select(List.of(candidate(8, 0, 10, 1)), true, 0))
                .isEmpty();
    }

    @Test
    void spreadsPendingPrefillTokensOverRanks() {
        assertThat(LeastCostSelector.select(List.of(candidate(2, 3_000, 10, 1), candidate(4, 0, 10, 1)), true, 0))
                .hasValue(1);
    }

    @Test
    void avoidsSlowRankUntilOthersAreNearlyFull() {
        assertThat(LeastCostSelector.select(List.of(candidate(0, 0, 10, 12), candidate(7, 0, 10, 1)), true, 0))
                .hasValue(1);
    }

    @Test
    void prefersFastUpstreamsOutsideEngines() {
        assertThat(LeastCostSelector.select(List.of(candidate(0, 0, 200, 1), candidate(2, 0, 20, 1)), false, 0))
                .hasValue(1);
    }

    /** Guards against most requests going to an upstream that has just started, while it is slow. */
    @Test
    void doesNotPreferUnknownLatency() {
        assertThat(LeastCostSelector.select(List.of(candidate(2, 0, 0, 1), candidate(1, 0, 20, 1)), false, 0))
                .hasValue(1);
        assertThat(LeastCostSelector.select(List.of(candidate(0, 0, 0, 1), candidate(1, 0, 20, 1)), false, 0))
                .hasValue(0);
    }

    @Test
    void avoidsFailingUpstreams() {
        UpstreamCandidate failing = new UpstreamCandidate(0, 8, 0, 20, 0.6, 1, false, true);

        assertThat(LeastCostSelector.select(List.of(failing, candidate(1, 0, 20, 1)), false, 0))
                .hasValue(1);
    }

    @Test
    void rotatesAmongEqualUpstreams() {
        List<UpstreamCandidate> equal = List.of(candidate(0, 0, 10, 1), candidate(0, 0, 10, 1));

        assertThat(LeastCostSelector.select(equal, true, 0)).hasValue(0);
        assertThat(LeastCostSelector.select(equal, true, 1)).hasValue(1);
    }

    /** The cost by which engines were selected before groups were known. */
    private static double costWithoutGroups(UpstreamCandidate candidate) {
        return candidate.inFlight()
                + candidate.pendingPrefillTokens() / 256
                + 8 * candidate.failureRate()
                + 8 * (candidate.slowdown() - 1)
                - (candidate.sameDataCentre() ? 0.2 : 0);
    }

    @Test
    void selectsAsBeforeWhileGroupsAreUnknown() {
        Random random = new Random(5);
        for (int round = 0; round < 2_000; round++) {
            List<UpstreamCandidate> candidates = random.ints(1 + random.nextInt(20), 0, 9)
                    .mapToObj(inFlight -> new UpstreamCandidate(
                            inFlight,
                            7,
                            random.nextInt(4) * 870,
                            random.nextInt(90),
                            random.nextInt(3) / 4.0,
                            1 + random.nextInt(2) * 0.5,
                            random.nextBoolean(),
                            random.nextInt(5) > 0))
                    .toList();
            int start = random.nextInt(40);
            OptionalInt expected = IntStream.range(0, candidates.size())
                    .map(index -> (index + start) % candidates.size())
                    .filter(index -> candidates.get(index).hasCapacity())
                    .boxed()
                    .min(Comparator.comparingDouble(index -> costWithoutGroups(candidates.get(index))))
                    .map(OptionalInt::of)
                    .orElse(OptionalInt.empty());

            assertThat(LeastCostSelector.select(candidates, true, start))
                    .as("round %d", round)
                    .isEqualTo(expected);
        }
    }
}
