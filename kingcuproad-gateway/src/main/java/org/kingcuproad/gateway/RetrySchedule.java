package org.kingcuproad.gateway;

/**
 * Decides when a call that failed is made again: after an interval that doubles with each failure, up to a bound.
 *
 * @param failures failures since the last success
 * @param dueMs time at which the call is made again, in milliseconds
 */
record RetrySchedule(int failures, long dueMs) {

    /** First interval; calls count against a rate limit that all processes share. */
    private static final long MIN_INTERVAL_MS = 1_000;

    private static final int MAX_DOUBLINGS = 3;

    /** The schedule of a call that has not failed. */
    static final RetrySchedule START = new RetrySchedule(0, 0);

    /** Returns the schedule after one more failure. */
    RetrySchedule afterFailure(long nowMs) {
        return new RetrySchedule(failures + 1, nowMs + (MIN_INTERVAL_MS << Math.min(failures, MAX_DOUBLINGS)));
    }

    /** Returns the time until the call is made again, in milliseconds; never negative. */
    long delayMs(long nowMs) {
        return Math.max(0, dueMs - nowMs);
    }
}
