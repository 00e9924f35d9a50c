package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Plays a standstill of the whole service: guards against clients that come back too early and are refused for good.
 */
class RetryAfterTest {

    private static final long DEADLINE_MS = 8_000;

    private static ServicePace stoppedAt(long lastEventMs) {
        ServicePace pace = new ServicePace();
        for (long nowMs = lastEventMs - 1_000; nowMs <= lastEventMs; nowMs += 25) {
            pace.onPlaceFree(nowMs);
            pace.onEvent(nowMs);
        }
        return pace;
    }

    @Test
    void tellsTheExpectedWaitInOverload() {
        ServicePace pace = stoppedAt(10_000);

        assertThat(RetryAfter.of(9, pace, DEADLINE_MS, 0.5, 10_010)).isBetween(100L, 300L);
    }

    @Test
    void neverExceedsWhatClientsHonour() {
        assertThat(RetryAfter.of(10_000, stoppedAt(10_000), DEADLINE_MS, 0, 10_010))
                .isEqualTo(DEADLINE_MS / 3);
    }

    /** A standstill of 4.5 s with one more try for each client, against the expected wait, which was told before. */
    @Test
    void bringsMoreClientsBackAfterTheStandstill() {
        Random random = new Random(3);
        ServicePace pace = stoppedAt(10_000);
        long endMs = 14_500;
        int served = 0;
        int servedBefore = 0;
        int clients = 0;
        for (long nowMs = 10_400; nowMs < endMs; nowMs += 25) {
            clients++;
            served += nowMs + RetryAfter.of(5, pace, DEADLINE_MS, random.nextDouble(), nowMs) >= endMs ? 1 : 0;
            servedBefore += nowMs + pace.waitMs(6) >= endMs ? 1 : 0;
        }

        assertThat(served).isGreaterThan(clients * 4 / 10);
        assertThat(servedBefore).isLessThan(clients / 10);
    }
}
