package org.kingcuproad.policy.lockstep;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against samples that lose choices, exceed one packet, or count a restarted rank's history as recent. */
class ChoiceSamplerTest {

    /** Room for a sample in a packet of 1,500 bytes beside the headers. */
    private static final int PACKET_BYTES = 1_400;

    @ParameterizedTest
    @ValueSource(ints = {288, 2_016})
    void sumsOfSamplesFollowTheCounters(int total) {
        Random random = new Random(total);
        ChoiceSampler sampler = new ChoiceSampler();
        long[] counters = new long[total];
        sampler.sample(counters);
        long[] told = new long[total];
        long largestStep = 0;
        for (int round = 0; round < 50; round++) {
            for (int at = 0; at < total; at++) {
                counters[at] += random.nextInt(1, at % 10 == 0 ? 5_000 : 50);
            }
            ChoiceSample sample = sampler.sample(counters.clone()).orElseThrow();
            largestStep = Math.max(largestStep, 1L << sample.scale());
            for (int at = 0; at < total; at++) {
                told[at] += sample.choices(at);
            }
        }

        for (int at = 0; at < total; at++) {
            assertThat(counters[at] - told[at])
                    .as("choices of expert %d not told yet", at)
                    .isBetween(0L, largestStep);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {288, 2_016})
    void aSampleFitsIntoOnePacket(int total) {
        ChoiceSampler sampler = new ChoiceSampler();
        sampler.sample(new long[total]);
        long[] counters = new long[total];
        Arrays.fill(counters, 1_000_000);

        ChoiceSample sample = sampler.sample(counters).orElseThrow();

        assertThat(sample.packed()).hasSizeLessThan(PACKET_BYTES);
    }

    @Test
    void theHistoryBeforeARestartIsNotRecent() {
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
