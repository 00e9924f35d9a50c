package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against waiting without end for a body that arrives byte by byte, and against refusing a slow one. */
class UploadProgressTest {

    private static final long PERIOD_MS = 1_000;

    @Test
    void reportsABodyThatArrivesByteByByte() {
        UploadProgress progress = new UploadProgress(0);
        for (int count = 0; count < 20; count++) {
            progress.onBytes(1);
        }

        assertThat(progress.isStalled(PERIOD_MS, 1_000)).isFalse();
        assertThat(progress.isStalled(PERIOD_MS, 1_001)).isTrue();
    }

    @Test
    void allowsASlowBodyAsLongAsItArrivesSteadily() {
        UploadProgress progress = new UploadProgress(0);
        for (int second = 1; second <= 60; second++) {
            progress.onBytes(600);

            assertThat(progress.isStalled(PERIOD_MS, second * 1_001L)).isFalse();
        }
        assertThat(progress.isStalled(PERIOD_MS, 62_000))
                .as("nothing more arrives")
                .isTrue();
    }
}
