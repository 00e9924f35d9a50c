package org.kingcuproad.policy.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.NotEmpty;
import org.junit.jupiter.api.Test;

/** Processes must agree on owners, and a change of candidates must not move keys unnecessarily. */
class RendezvousHashTest {

    @Property(seed = "5")
    void rankingIsIndependentOfListOrderAndStableUnderRemoval(
            @ForAll String key,
            @ForAll @NotEmpty Set<@AlphaChars String> candidates,
            @ForAll @IntRange(max = 9) int count) {
        List<String> ranked = RendezvousHash.rank(key, candidates);
        List<String> reversed = new ArrayList<>(candidates);
        Collections.reverse(reversed);
        assertThat(RendezvousHash.rank(key, reversed)).isEqualTo(ranked);
        assertThat(RendezvousHash.pick(key, candidates, count))
                .isEqualTo(ranked.subList(0, Math.min(count, ranked.size())));
        List<String> remaining = new ArrayList<>(ranked);
        remaining.remove(0);
        assertThat(RendezvousHash.rank(key, remaining)).isEqualTo(remaining);
    }

    @Test
    void ownersAreSpreadEvenly() {
        List<String> candidates =
                IntStream.range(0, 12).mapToObj(index -> "upstream-" + index).toList();
        Map<String, Integer> keysByOwner = new HashMap<>();
        for (int key = 0; key < 12_000; key++) {
            RendezvousHash.owner("shard-" + key, candidates)
                    .ifPresent(owner -> keysByOwner.merge(owner, 1, Integer::sum));
        }
        // The expected number of keys per candidate is 1,000, with a standard deviation of 30.
        assertThat(keysByOwner.values()).hasSize(12).allMatch(count -> count > 850 && count < 1_150);
    }
}
