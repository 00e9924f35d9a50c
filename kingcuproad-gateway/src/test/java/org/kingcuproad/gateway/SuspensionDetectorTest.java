package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against connections that are kept although they went silent while the VM was suspended. */
class SuspensionDetectorTest {

    private final SuspensionDetector detector = new SuspensionDetector();

    @Test
    void detectsThatTheTimeOfDayAdvancedFurther() {
        assertThat(detector.suspended(1_000, 1_700_000_000_000L)).isFalse();
        assertThat(detector.suspended(1_025, 1_700_000_000_725L)).isFalse();
        assertThat(detector.suspended(1_050, 1_700_000_001_451L)).isTrue();
        assertThat(detector.differenceMs()).isEqualTo(701);
        assertThat(detector.suspended(3_050, 1_700_000_003_451L)).isFalse();
    }

    @Test
    void passesOverATimeOfDayThatGoesBack() {
        detector.suspended(1_000, 1_700_000_000_000L);

        assertThat(detector.suspended(1_025, 1_699_999_990_000L)).isFalse();
    }
}
