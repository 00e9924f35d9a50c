package org.kingcuproad.policy.lockstep;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against samples that saturate the link of rank 0, and against intervals that are longer than necessary. */
class SampleIntervalTest {

    private static final int SAMPLE_BYTES = 1_008 + 64;

    /** Rank 0 receives the sums of the collectors, and each collector the samples of its ranks. */
    @Test
    void largeGroupSamplesTakeAtMostAQuarterOfTheLink() {
        long intervalMs = SampleInterval.intervalMs(new GroupShape(8, 252, 5, 2), 63, 5.6);
        int collectors = SampleInterval.collectors(63);

        int samplesAtOneAgent = Math.max(collectors, Math.ceilDiv(63, collectors));
        double mbps = samplesAtOneAgent * SAMPLE_BYTES * 8 / (intervalMs / 1_000.0) / 1e6;
        assertThat(mbps).isLessThanOrEqualTo(0.25 * 5.6 * 1.01);
        assertThat(intervalMs)
                .as("interval, where popularity shifts last some seconds")
                .isLessThan(1_000);
    }

    /** Sent to rank 0 directly, the samples of 129 ranks would take 2.1 s, more than half the time between shifts. */
    @Test
    void hundredsOfRanksAreSampledWithinHalfASecond() {
        assertThat(SampleInterval.intervalMs(new GroupShape(16, 258, 3, 2), 129, 4.2))
                .isLessThan(500);
    }

    @Test
    void smallGroupSamplesAtMinimumInterval() {
        assertThat(SampleInterval.intervalMs(new GroupShape(4, 72, 8, 3), 12, 14))
                .isEqualTo(200);
    }
}
