package org.kingcuproad.experiment.routing;

import org.HdrHistogram.Histogram;

/** What one run measures, from the end of the warm-up on. */
final class Measures {

    /** Objective for the first token (design page, 1.7). */
    static final double FIRST_TOKEN_OBJECTIVE_MS = 1_700;

    /** Objective between tokens (design page, 1.7). */
    static final double TOKEN_GAP_OBJECTIVE_MS = 33;

    /** Recorded for a request that got no first token, so that refusals cannot improve a percentile. */
    static final long NEVER_MICROS = 60_000_000;

    private static final int DIGITS = 3;

    private final long startMicros;
    private final Histogram served = new Histogram(2 * NEVER_MICROS, DIGITS);
    private final Histogram offered = new Histogram(2 * NEVER_MICROS, DIGITS);
    private final Histogram small = new Histogram(2 * NEVER_MICROS, DIGITS);
    private final Histogram gaps = new Histogram(2 * NEVER_MICROS, DIGITS);
    private long promptBlocks;
    private long cachedBlocks;
    private long requests;
    private long good;
    private long refused;
    private long failed;
    private long extraAttempts;

    Measures(long startMicros) {
        this.startMicros = startMicros;
    }

    boolean counts(long arrivalMicros) {
        return arrivalMicros >= startMicros;
    }

    void onRequest(long arrivalMicros) {
        requests += counts(arrivalMicros) ? 1 : 0;
    }

    void onFirstToken(long arrivalMicros, long nowMicros, boolean smallWorkspace) {
        if (counts(arrivalMicros)) {
            long micros = Math.min(NEVER_MICROS, nowMicros - arrivalMicros);
            served.recordValue(micros);
            record(micros, smallWorkspace);
        }
    }

    void onCompleted(long arrivalMicros, double firstTokenMs, double meanGapMs) {
        boolean inTime = firstTokenMs <= FIRST_TOKEN_OBJECTIVE_MS && meanGapMs <= TOKEN_GAP_OBJECTIVE_MS;
        good += counts(arrivalMicros) && inTime ? 1 : 0;
    }

    void onRefused(long arrivalMicros, boolean smallWorkspace) {
        if (counts(arrivalMicros)) {
            refused++;
            record(NEVER_MICROS, smallWorkspace);
        }
    }

    void onFailed(long arrivalMicros, boolean smallWorkspace, boolean answered) {
        if (counts(arrivalMicros)) {
            failed++;
            if (!answered) {
                record(NEVER_MICROS, smallWorkspace);
            }
        }
    }

    private void record(long micros, boolean smallWorkspace) {
        offered.recordValue(micros);
        if (smallWorkspace) {
            small.recordValue(micros);
        }
    }

    void onExtraAttempt(long arrivalMicros) {
        extraAttempts += counts(arrivalMicros) ? 1 : 0;
    }

    void onStep(long nowMicros, long durationMicros, long decoding) {
        if (counts(nowMicros) && decoding > 0) {
            gaps.recordValueWithCount(Math.min(NEVER_MICROS, durationMicros), decoding);
        }
    }

    void onPromptStarted(long nowMicros, int blocks, int matched) {
        if (counts(nowMicros)) {
            promptBlocks += blocks;
            cachedBlocks += matched;
        }
    }

    RunResult result(double seconds, double capacityPerSecond) {
        return new RunResult(
                requests,
                refused,
                failed,
                good / seconds,
                good / seconds / capacityPerSecond,
                RunResult.Percentiles.of(served),
                ms(offered, 99),
                ms(small, 99),
                RunResult.Percentiles.of(gaps),
                promptBlocks == 0 ? 0 : (double) cachedBlocks / promptBlocks,
                extraAttempts);
    }

    private static double ms(Histogram histogram, double percentile) {
        return histogram.getTotalCount() == 0 ? 0 : histogram.getValueAtPercentile(percentile) / 1e3;
    }
}
