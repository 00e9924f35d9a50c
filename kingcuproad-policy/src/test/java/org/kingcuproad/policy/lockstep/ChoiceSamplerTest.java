package org.kingcuproad.policy.lockstep;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against samples that lose choices, exceed one packet, or count choices from before a rank's restart as recent.
 */
class ChoiceSamplerTest {

    /** Space for a sample in a packet of 1,500 bytes, after the headers. */
    private static final int MAX_PAYLOAD_BYTES = 1_400;

    @ParameterizedTest
    @ValueSource(ints = {288, 2_016})
    void sampleSumsTrackCountersWithinOneUnit(int counterCount) {
        Random random = new Random(counterCount);
        ChoiceSampler sampler = new ChoiceSampler();
        long[] counters = new long[counterCount];
        sampler.sample(counters);
        long[] sampled = new long[counterCount];
        long largestUnit = 0;
        for (int round = 0; round < 50; round++) {
            for (int index = 0; index < counterCount; index++) {
                counters[index] += random.nextInt(1, index % 10 == 0 ? 5_000 : 50);
            }
            ChoiceSample sample = sampler.sample(counters.clone()).orElseThrow();
            largestUnit = Math.max(largestUnit, 1L << sample.scale());
            for (int index = 0; index < counterCount; index++) {
                sampled[index] += sample.choices(index);
            }
        }

        for (int index = 0; index < counterCount; index++) {
            assertThat(counters[index] - sampled[index])
                    .as("choices of expert %d not sampled yet", index)
                    .isBetween(0L, largestUnit);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {288, 2_016})
    void sampleFitsIntoOnePacket(int counterCount) {
        ChoiceSampler sampler = new ChoiceSampler();
        sampler.sample(new long[counterCount]);
        long[] counters = new long[counterCount];
        Arrays.fill(counters, 1_000_000);

        ChoiceSample sample = sampler.sample(counters).orElseThrow();

        assertThat(sample.packed()).hasSizeLessThan(MAX_PAYLOAD_BYTES);
    }

    @Test
    void skipsCountsFromBeforeRankRestart() {
        ChoiceSampler sampler = new ChoiceSampler();
        assertThat(sampler.sample(new long[] {900, 100})).as("first counters").isEmpty();
        assertThat(sampler.sample(new long[] {950, 100}).orElseThrow().choices(0))
                .isEqualTo(50);
        assertThat(sampler.sample(new long[] {30, 10}))
                .as("counters of a restarted rank")
                .isEmpty();
        assertThat(sampler.sample(new long[] {37, 10}).orElseThrow().choices(0)).isEqualTo(7);
    }
}
