package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Slow engines: guards against streams that occupy slots until their callers disconnect, and against refusing streams
 * that would complete in time.
 */
class StreamAdmissionDecisionTest {

    private static final long DEADLINE_MS = 8_000;
    private static final double TYPICAL_EVENTS = 28;

    private static ServiceStatistics statisticsWithInterval(double intervalMs) {
        ServiceStatistics statistics = new ServiceStatistics();
        for (int event = 0; event < 200; event++) {
            statistics.onEventInterval(intervalMs);
        }
        statistics.onEvent(0);
        return statistics;
    }

    @Test
    void refusesStreamThatCannotCompleteInTime() {
        assertThat(StreamAdmissionDecision.of(TYPICAL_EVENTS, statisticsWithInterval(800), DEADLINE_MS, 10)
                        .refused())
                .isTrue();
    }

    @Test
    void admitsShortStreamAtSameEventRate() {
        assertThat(StreamAdmissionDecision.of(6, statisticsWithInterval(800), DEADLINE_MS, 10)
                        .refused())
                .isFalse();
    }

    @Test
    void admitsLongStreamAtNormalEventRate() {
        assertThat(StreamAdmissionDecision.of(70, statisticsWithInterval(70), DEADLINE_MS, 10)
                        .refused())
                .isFalse();
    }

    @Test
    void singleStallOfAllStreamsDoesNotCauseRefusal() {
        ServiceStatistics statistics = statisticsWithInterval(70);
        for (int stream = 0; stream < 10; stream++) {
            statistics.onEventInterval(1_500);
        }

        assertThat(StreamAdmissionDecision.of(TYPICAL_EVENTS, statistics, DEADLINE_MS, 10)
                        .refused())
                .isFalse();
    }

    @Test
    void admitsWhenStatisticsAreOutdated() {
        assertThat(StreamAdmissionDecision.of(TYPICAL_EVENTS, statisticsWithInterval(800), DEADLINE_MS, 5_000)
                        .refused())
                .isFalse();
    }

    /**
     * Nine seconds at ten times the usual interval between events, on 16 slots: with admission control more streams
     * complete than without, for the same random seed.
     */
    @Test
    void admissionControlCompletesMoreStreams() {
        assertThat(completedStreams(true)).isGreaterThan(completedStreams(false));
    }

    private static int completedStreams(boolean admissionControl) {
        Random random = new Random(5);
        ServiceStatistics statistics = statisticsWithInterval(700);
        int completed = 0;
        for (int slot = 0; slot < 16; slot++) {
            double slotFreeMs = 0;
            while (slotFreeMs < 9_000) {
                double expectedEvents = TYPICAL_EVENTS * Math.exp(0.7 * random.nextGaussian() - 0.25);
                double events = Math.max(1, expectedEvents * Math.exp(0.5 * random.nextGaussian()));
                if (admissionControl
                        && StreamAdmissionDecision.of(expectedEvents, statistics, DEADLINE_MS, 10)
                                .refused()) {
                    continue;
                }
                double durationMs = events * 700;
                completed += durationMs <= DEADLINE_MS ? 1 : 0;
                slotFreeMs += Math.min(durationMs, DEADLINE_MS);
            }
        }
        return completed;
    }
}
