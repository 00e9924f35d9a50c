package org.kingcuproad.ctl.load;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Times and counts of the measured interval.
 *
 * <p>Times and faults belong to requests that were due in the interval, throughput to what arrived in it.
 */
final class LoadRecorder {

    private static final long HIGHEST_US = TimeUnit.MINUTES.toMicros(10);
    private static final int DIGITS = 3;

    private final long fromNs;
    private final long untilNs;
    private final Histogram firstByteUs = new ConcurrentHistogram(HIGHEST_US, DIGITS);
    private final Histogram tokenGapUs = new ConcurrentHistogram(HIGHEST_US, DIGITS);
    private final Histogram totalUs = new ConcurrentHistogram(HIGHEST_US, DIGITS);
    private final LongAdder due = new LongAdder();
    private final LongAdder complete = new LongAdder();
    private final LongAdder arrivedResponses = new LongAdder();
    private final LongAdder arrivedTokens = new LongAdder();
    private final Map<String, LongAdder> errors = new ConcurrentSkipListMap<>();
    private final Map<String, LongAdder> incomplete = new ConcurrentSkipListMap<>();

    LoadRecorder(long fromNs, long untilNs) {
        this.fromNs = fromNs;
        this.untilNs = untilNs;
    }

    void due(long intendedNs) {
        if (measured(intendedNs)) {
            due.increment();
        }
    }

    void firstByte(long intendedNs, long nowNs) {
        record(firstByteUs, intendedNs, intendedNs, nowNs);
    }

    void tokens(int count, long nowNs) {
        if (measured(nowNs)) {
            arrivedTokens.add(count);
        }
    }

    void tokenGap(long intendedNs, long lastNs, long nowNs) {
        record(tokenGapUs, intendedNs, lastNs, nowNs);
    }

    void complete(long intendedNs, long nowNs) {
        record(totalUs, intendedNs, intendedNs, nowNs);
        if (measured(intendedNs)) {
            complete.increment();
        }
        if (measured(nowNs)) {
            arrivedResponses.increment();
        }
    }

    void incomplete(long intendedNs, String kind) {
        count(incomplete, intendedNs, kind);
    }

    void error(long intendedNs, String kind) {
        count(errors, intendedNs, kind);
    }

    LoadSummary summary(long unfinished) {
        double seconds = (untilNs - fromNs) / (double) TimeUnit.SECONDS.toNanos(1);
        return new LoadSummary(
                due.sum(),
                complete.sum(),
                counts(incomplete),
                counts(errors),
                unfinished,
                arrivedResponses.sum() / seconds,
                arrivedTokens.sum() / seconds,
                Percentiles.of(firstByteUs),
                Percentiles.of(tokenGapUs),
                Percentiles.of(totalUs));
    }

    private boolean measured(long timeNs) {
        return timeNs - fromNs >= 0 && timeNs - untilNs < 0;
    }

    private void record(Histogram histogram, long intendedNs, long sinceNs, long nowNs) {
        if (measured(intendedNs)) {
            long us = TimeUnit.NANOSECONDS.toMicros(Math.max(0, nowNs - sinceNs));
            histogram.recordValue(Math.min(us, HIGHEST_US));
        }
    }

    private void count(Map<String, LongAdder> counts, long intendedNs, String kind) {
        if (measured(intendedNs)) {
            counts.computeIfAbsent(kind, added -> new LongAdder()).increment();
        }
    }

    private static Map<String, Long> counts(Map<String, LongAdder> counters) {
        Map<String, Long> counts = new ConcurrentSkipListMap<>();
        counters.forEach((kind, counter) -> counts.put(kind, counter.sum()));
        return Map.copyOf(counts);
    }
}
