package org.kingcuproad.policy.coldstart;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against more requests than a cold upstream survives, from gateways that don't hear from one another. */
class ColdStartTest {

    private static final double PER_SECOND = 26;
    private static final ColdRateBound BOUND = new ColdRateBound(1.5, 5);
    private static final long LIMIT = 44;

    private static long mostInOneSecond(int gateways, double intervalMs, long seed) {
        Random random = new Random(seed);
        List<Long> sends = new ArrayList<>();
        for (int gateway = 0; gateway < gateways; gateway++) {
            ColdStart cold = new ColdStart();
            long lastSendMs = Long.MIN_VALUE / 2;
            int offsetMs = random.nextInt(25);
            for (long nowMs = offsetMs; nowMs < 6_000; nowMs += 5) {
                if ((nowMs - offsetMs) % 1_200 == 0) {
                    cold.onReport(3_000, random.nextDouble(), nowMs);
                }
                if (cold.nextSendMs(intervalMs, lastSendMs, nowMs) <= nowMs) {
                    sends.add(nowMs);
                    lastSendMs = nowMs;
                }
            }
        }
        return sends.stream()
                .mapToLong(from -> sends.stream()
                        .filter(atMs -> atMs >= from && atMs < from + 1_000)
                        .count())
                .max()
                .orElse(0);
    }

    @ParameterizedTest
    @CsvSource({"1, true", "6, true", "15, true", "18, true", "6, false", "18, false"})
    void staysWithinTheBoundWithoutMessages(int gateways, boolean complete) {
        double intervalMs = BOUND.intervalMs(PER_SECOND, complete ? gateways : 1, complete);

        for (long seed = 0; seed < 50; seed++) {
            assertThat(mostInOneSecond(gateways, intervalMs, seed))
                    .as("seed " + seed)
                    .isBetween(1L, LIMIT);
        }
    }

    /** Guards against a gateway that takes the whole rate because peers have fallen silent. */
    @Test
    void usesAnEqualShare() {
        assertThat(BOUND.intervalMs(PER_SECOND, 13, true)).isEqualTo(500);
        assertThat(BOUND.intervalMs(PER_SECOND, 1, false)).isGreaterThan(1_000);
        assertThat(BOUND.intervalMs(0, 13, false)).isZero();
    }

    /** Guards against a data centre that returns, each of whose many upstreams tolerates a part of all requests. */
    @Test
    void returnsSlotsByDegrees() {
        ColdStart cold = new ColdStart();
        cold.onReport(3_000, 0, 1_000);
        cold.onReport(1_800, 0, 2_200);

        assertThat(cold.usableSlots(7, 1_000)).isEqualTo(1);
        assertThat(cold.usableSlots(8, 2_500)).isEqualTo(4);
        assertThat(cold.usableSlots(8, 4_000)).isEqualTo(8);
    }

    /** Guards against a cold state that lasts on because its last report is not renewed, or that is noticed late. */
    @Test
    void isColdFromTheReportForTheReportedTime() {
        ColdStart cold = new ColdStart();
        assertThat(cold.cold(0)).isFalse();

        cold.onReport(3_000, 0.5, 1_000);
        assertThat(cold.nextSendMs(500, 0, 1_000)).isEqualTo(1_250);
        assertThat(cold.nextSendMs(500, 1_250, 1_300)).isEqualTo(1_750);
        assertThat(cold.nextSendMs(0, 1_250, 1_300)).isLessThanOrEqualTo(1_300);

        assertThat(cold.cold(3_999)).isTrue();
        assertThat(cold.cold(4_000)).isFalse();
        cold.onReport(3_000, 0, 5_000);
        cold.onReport(0, 0, 5_500);
        assertThat(cold.cold(5_500)).isFalse();
    }

    /**
     * Guards against shares that exceed a bound without tolerance when they are rounded up: 30 requests instead of 26.
     */
    @Test
    void staysWithinABoundWithoutTolerance() {
        double intervalMs = ColdRateBound.DEFAULT.intervalMs(PER_SECOND, 15, true);

        for (long seed = 0; seed < 50; seed++) {
            assertThat(mostInOneSecond(15, intervalMs, seed)).as("seed " + seed).isBetween(1L, (long) PER_SECOND);
        }
    }
}
