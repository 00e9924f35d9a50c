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
    void findsThePartThatTwoCrashesHaveInCommon() {
        assertThat(CrashAttribution.attribute(
                        List.of(crash(0, "a,bad", "a", "c"), crash(4, "d,bad", "e")), NOTHING_PROVEN))
                .containsExactly(Set.of("bad"));
    }

    @Test
    void blamesNothingAfterOneCrash() {
        assertThat(CrashAttribution.attribute(List.of(crash(0, "a,bad")), NOTHING_PROVEN))
                .isEmpty();
    }

    @Test
    void blamesOnlyTheCombinationIfAllLostRequestsShareFurtherParts() {
        assertThat(CrashAttribution.attribute(
                        List.of(crash(0, "first,bad", "first"), crash(4, "first,bad")), NOTHING_PROVEN))
                .containsExactly(Set.of("first", "bad"));
    }

    @Test
    void doesNotBlameProvenParts() {
        assertThat(CrashAttribution.attribute(
                        List.of(crash(0, "first,bad", "first"), crash(4, "first,bad"), crash(9, "first")),
                        "first"::equals))
                .containsExactly(Set.of("bad"));
    }

    @Test
    void needsAThirdCrashIfUpstreamsFailTogether() {
        List<UpstreamCrash> together = List.of(crash(0, "a,bad"), crash(0, "b,bad"));
        assertThat(CrashAttribution.attribute(together, NOTHING_PROVEN)).isEmpty();
        assertThat(CrashAttribution.attribute(
                        Stream.concat(together.stream(), Stream.of(crash(0, "c,bad")))
                                .toList(),
                        NOTHING_PROVEN))
                .containsExactly(Set.of("bad"));
    }

    @Test
    void needsAThirdCrashIfTwoPartsExplainThemEquallyWell() {
        assertThat(CrashAttribution.attribute(List.of(crash(0, "x", "y"), crash(4, "x", "y")), NOTHING_PROVEN))
                .isEmpty();
        assertThat(CrashAttribution.attribute(
                        List.of(crash(0, "x", "y"), crash(4, "x", "y"), crash(8, "x")), NOTHING_PROVEN))
                .containsExactly(Set.of("x"));
    }

    /** Guards against a quarantine of what many callers ask for when a whole rack of upstreams fails. */
    @Test
    void doesNotBlameAPartThatWasLostWithAFewOfManyCrashes() {
        List<UpstreamCrash> rack = IntStream.range(0, 12)
                .mapToObj(index -> crash(0, index % 4 == 0 ? "popular" : "p" + index, "q" + index))
                .toList();
        assertThat(CrashAttribution.attribute(rack, NOTHING_PROVEN)).isEmpty();
    }
}
