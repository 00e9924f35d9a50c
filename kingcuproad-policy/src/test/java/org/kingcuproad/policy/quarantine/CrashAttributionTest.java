package org.kingcuproad.policy.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against blaming sound prompt parts for crashes, and against overlooking the part that causes them. */
class CrashAttributionTest {

    private static final Predicate<String> NOTHING_PROVEN = part -> false;

    /** Creates a crash; each prompt is given as part ids separated by commas. */
    private static UpstreamCrash crash(int atS, String... prompts) {
        return new UpstreamCrash(
                new UpstreamCrash.Incarnation("u" + atS + Arrays.toString(prompts), 0),
                atS * 1_000L,
                Stream.of(prompts).map(prompt -> List.of(prompt.split(","))).collect(Collectors.toSet()));
    }

    @Test
    void findsThePartThatThreeCrashesHaveInCommon() {
        assertThat(CrashAttribution.attribute(
                        List.of(crash(0, "a,bad", "a", "c"), crash(4, "d,bad", "e"), crash(8, "a", "bad")),
                        NOTHING_PROVEN))
                .containsExactly(Set.of("bad"));
    }

    /**
     * Guards against a quarantine of a popular part that was lost with two crashes by chance before any request with it
     * was answered.
     */
    @Test
    void blamesNothingAfterTwoCrashes() {
        assertThat(CrashAttribution.attribute(
                        List.of(crash(0, "popular", "a", "b"), crash(4, "c", "d", "popular")), NOTHING_PROVEN))
                .isEmpty();
    }

    @Test
    void blamesOnlyTheCombinationIfAllLostRequestsShareFurtherParts() {
        assertThat(CrashAttribution.attribute(
                        List.of(crash(0, "first,bad", "first"), crash(4, "first,bad"), crash(8, "first,bad")),
                        NOTHING_PROVEN))
                .containsExactly(Set.of("first", "bad"));
    }

    @Test
    void doesNotBlameProvenParts() {
        assertThat(CrashAttribution.attribute(
                        List.of(
                                crash(0, "first,bad", "first"),
                                crash(4, "first,bad"),
                                crash(8, "first,bad"),
                                crash(9, "first")),
                        "first"::equals))
                .containsExactly(Set.of("bad"));
    }

    @Test
    void blamesBothPartsIfTwoExplainTheCrashesEquallyWell() {
        assertThat(CrashAttribution.attribute(
                        List.of(crash(0, "x", "y"), crash(4, "x", "y"), crash(8, "x", "y")), NOTHING_PROVEN))
                .containsExactlyInAnyOrder(Set.of("x"), Set.of("y"));
    }

    /** Guards against a quarantine of what many callers ask for when a whole rack of upstreams fails. */
    @Test
    void doesNotBlameAPartThatWasLostWithAFewOfManyCrashes() {
        List<UpstreamCrash> rack = IntStream.range(0, 12)
                .mapToObj(index -> crash(0, index % 3 == 0 ? "popular" : "p" + index, "q" + index))
                .toList();
        assertThat(CrashAttribution.attribute(rack, NOTHING_PROVEN)).isEmpty();
    }
}
