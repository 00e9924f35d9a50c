package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Stall of the whole service: guards against clients that retry too early and are refused for good. */
class RetryAfterTest {

    private static final long DEADLINE_MS = 8_000;

    private static ServiceStatistics statisticsStalledAt(long lastEventMs) {
        ServiceStatistics statistics = new ServiceStatistics();
        for (long nowMs = lastEventMs - 1_000; nowMs <= lastEventMs; nowMs += 25) {
            statistics.onSlotReleased(nowMs);
            statistics.onEvent(nowMs);
        }
        return statistics;
    }

    @Test
    void returnsExpectedWaitUnderOverload() {
        ServiceStatistics statistics = statisticsStalledAt(10_000);

        assertThat(RetryAfter.of(9, statistics, DEADLINE_MS, 0.5, 10_010)).isBetween(100L, 300L);
    }

    @Test
    void neverExceedsDelayThatClientsHonour() {
        assertThat(RetryAfter.of(10_000, statisticsStalledAt(10_000), DEADLINE_MS, 0, 10_010))
                .isEqualTo(DEADLINE_MS / 3);
    }

    /**
     * A stall of 4.5 s with one more attempt for each client, compared with the expected wait, which was returned
     * before.
     */
    @Test
    void moreClientsReturnAfterStallEnds() {
        Random random = new Random(3);
        ServiceStatistics statistics = statisticsStalledAt(10_000);
        long stallEndMs = 14_500;
        int served = 0;
        int servedWithExpectedWait = 0;
        int clients = 0;
        for (long nowMs = 10_400; nowMs < stallEndMs; nowMs += 25) {
            clients++;
            served +=
                    nowMs + RetryAfter.of(5, statistics, DEADLINE_MS, random.nextDouble(), nowMs) >= stallEndMs ? 1 : 0;
            servedWithExpectedWait += nowMs + statistics.expectedWaitMs(6) >= stallEndMs ? 1 : 0;
        }

        assertThat(served).isGreaterThan(clients * 4 / 10);
        assertThat(servedWithExpectedWait).isLessThan(clients / 10);
    }
}
