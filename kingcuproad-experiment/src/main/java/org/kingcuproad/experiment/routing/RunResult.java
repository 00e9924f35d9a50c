package org.kingcuproad.experiment.routing;

import org.HdrHistogram.Histogram;

/**
 * Figures of one run.
 *
 * @param requests requests that arrived after the warm-up
 * @param refused requests refused as not run
 * @param failed requests that failed after all attempts
 * @param goodputPerSecond requests a second that met both latency objectives
 * @param goodputOfCapacity the same as a ratio of the capacity
 * @param firstTokenMs time to first token of served requests
 * @param offeredFirstTokenP99Ms 99th percentile over all requests, where an unserved one counts as 60 s
 * @param smallFirstTokenP99Ms the same over the workspaces other than the first
 * @param tokenGapMs time between tokens
 * @param cacheHitShare blocks of prompts that came from the prefix cache
 * @param extraAttempts attempts beyond the first of each request
 */
record RunResult(
        long requests,
        long refused,
        long failed,
        double goodputPerSecond,
        double goodputOfCapacity,
        Percentiles firstTokenMs,
        double offeredFirstTokenP99Ms,
        double smallFirstTokenP99Ms,
        Percentiles tokenGapMs,
        double cacheHitShare,
        long extraAttempts) {

    double extraAttemptRatio() {
        return requests == 0 ? 0 : (double) extraAttempts / requests;
    }

    double refusedShare() {
        return requests == 0 ? 0 : (double) refused / requests;
    }

    double failedShare() {
        return requests == 0 ? 0 : (double) failed / requests;
    }

    /**
     * Percentiles in milliseconds.
     *
     * @param p50 the median
     * @param p95 the 95th percentile
     * @param p99 the 99th percentile
     */
    record Percentiles(double p50, double p95, double p99) {

        static Percentiles of(Histogram micros) {
            if (micros.getTotalCount() == 0) {
                return new Percentiles(0, 0, 0);
            }
            return new Percentiles(
                    micros.getValueAtPercentile(50) / 1e3,
                    micros.getValueAtPercentile(95) / 1e3,
                    micros.getValueAtPercentile(99) / 1e3);
        }
    }
}
