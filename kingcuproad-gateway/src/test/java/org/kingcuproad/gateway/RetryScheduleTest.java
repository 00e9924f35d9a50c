package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against calling a store in trouble at full rate, and against intervals that grow without bound. */
class RetryScheduleTest {

    private static final long NOW_MS = 5_000;

    @Test
    void doublesTheIntervalUpToABound() {
        List<Long> intervalsMs = Stream.iterate(
                        RetrySchedule.START.afterFailure(NOW_MS), schedule -> schedule.afterFailure(NOW_MS))
                .limit(70)
                .map(schedule -> schedule.delayMs(NOW_MS))
                .toList();

        assertThat(intervalsMs).startsWith(1_000L, 2_000L, 4_000L, 8_000L, 8_000L);
        assertThat(intervalsMs.subList(4, intervalsMs.size())).containsOnly(8_000L);
    }

    @Test
    void isDueAtOnceWhenItsTimeHasPassed() {
        assertThat(RetrySchedule.START.afterFailure(NOW_MS).delayMs(NOW_MS + 60_000))
                .isZero();
    }
}
