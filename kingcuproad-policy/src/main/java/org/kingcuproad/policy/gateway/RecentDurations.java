package org.kingcuproad.policy.gateway;

import java.util.Arrays;
import java.util.OptionalLong;

/** Durations of the most recent complete responses, from the arrival of the request to the end of the response. */
public final class RecentDurations {

    private static final int MAX_SAMPLES = 64;

    private final long[] durationsMs = new long[MAX_SAMPLES];
    private int added;

    /** Creates an empty set of durations. */
    public RecentDurations() {}

    /**
     * Records a response, in place of the oldest one if there are many.
     *
     * @param durationMs duration of the response, in milliseconds
     */
    public void add(long durationMs) {
        durationsMs[added % MAX_SAMPLES] = durationMs;
        added++;
    }

    /**
     * Returns the duration of the longest of the recorded responses.
     *
     * @return the duration in milliseconds, or empty if no response has been recorded
     */
    public OptionalLong longestMs() {
        return Arrays.stream(durationsMs, 0, Math.min(added, MAX_SAMPLES)).max();
    }
}
