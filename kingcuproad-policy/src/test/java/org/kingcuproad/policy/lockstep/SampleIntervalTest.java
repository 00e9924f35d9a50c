package org.kingcuproad.policy.lockstep;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against samples that fill the link of rank 0, and against needlessly old ones. */
class SampleIntervalTest {

    private static final int SAMPLE_BYTES = 1_008 + 64;

    @Test
    void samplesOfALargeGroupTakeAQuarterOfTheLink() {
        long intervalMs = SampleInterval.ofMs(new GroupShape(8, 252, 5, 2), 63, 5.6);

        double mbps = 63 * SAMPLE_BYTES * 8 / (intervalMs / 1_000.0) / 1e6;
        assertThat(mbps).isLessThanOrEqualTo(0.25 * 5.6 * 1.01);
        assertThat(intervalMs).as("shifts last some seconds").isLessThan(1_000);
    }

    @Test
    void aSmallGroupTellsAsOftenAsIsUseful() {
        assertThat(SampleInterval.ofMs(new GroupShape(4, 72, 8, 3), 12, 14)).isEqualTo(200);
    }
}
