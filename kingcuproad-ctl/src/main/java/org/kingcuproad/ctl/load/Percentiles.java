package org.kingcuproad.ctl.load;

import org.HdrHistogram.Histogram;

/**
 * Figures of one distribution of times.
 *
 * @param samples number of times
 * @param p50Ms median
 * @param p99Ms time that 99 in 100 do not exceed
 * @param maxMs longest time
 */
public record Percentiles(long samples, double p50Ms, double p99Ms, double maxMs) {

    private static final double US_PER_MS = 1_000;

    static Percentiles of(Histogram us) {
        return new Percentiles(
                us.getTotalCount(),
                us.getValueAtPercentile(50) / US_PER_MS,
                us.getValueAtPercentile(99) / US_PER_MS,
                us.getMaxValue() / US_PER_MS);
    }
}
