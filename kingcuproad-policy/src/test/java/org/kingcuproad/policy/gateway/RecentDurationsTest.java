package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class RecentDurationsTest {

    private final RecentDurations durations = new RecentDurations();

    @Test
    void knowsNoDurationBeforeTheFirstResponse() {
        assertThat(durations.longestMs()).isEmpty();
    }

    /** Guards against one slow response that determines the longest duration for ever. */
    @Test
    void forgetsASlowResponseAfterManyOthers() {
        durations.add(8_000);
        IntStream.range(0, 63).forEach(index -> durations.add(100));
        assertThat(durations.longestMs()).hasValue(8_000);

        durations.add(90);
        assertThat(durations.longestMs()).hasValue(100);
    }
}
