package org.kingcuproad.experiment.routing;

import java.util.Locale;

/**
 * One row of the results.
 *
 * @param input what happened in the run
 * @param policy the policy
 * @param load offered load as a ratio of the capacity
 * @param seed seed of the run
 * @param result the figures
 */
record ExperimentRow(ExperimentInput input, ExperimentPolicy policy, double load, long seed, RunResult result) {

    /** Column names, which scripts rely on: new columns go to the end. */
    static final String HEADER = "input,policy,load,seed,requests,refused_share,failed_share,goodput_per_s,"
            + "goodput_of_capacity,ttft_p50_ms,ttft_p95_ms,ttft_p99_ms,offered_ttft_p99_ms,small_ttft_p99_ms,"
            + "gap_p50_ms,gap_p95_ms,gap_p99_ms,cache_hit_share,extra_attempts,extra_attempt_ratio";

    String toCsv() {
        return String.format(
                Locale.ROOT,
                "%s,%s,%.2f,%d,%d,%.4f,%.4f,%.2f,%.4f,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f,%.4f,%d,%.4f",
                input.label(),
                policy.label(),
                load,
                seed,
                result.requests(),
                result.refusedShare(),
                result.failedShare(),
                result.goodputPerSecond(),
                result.goodputOfCapacity(),
                result.firstTokenMs().p50(),
                result.firstTokenMs().p95(),
                result.firstTokenMs().p99(),
                result.offeredFirstTokenP99Ms(),
                result.smallFirstTokenP99Ms(),
                result.tokenGapMs().p50(),
                result.tokenGapMs().p95(),
                result.tokenGapMs().p99(),
                result.cacheHitShare(),
                result.extraAttempts(),
                result.extraAttemptRatio());
    }
}
