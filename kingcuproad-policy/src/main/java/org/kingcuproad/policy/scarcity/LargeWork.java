package org.kingcuproad.policy.scarcity;

import java.util.Arrays;

/** Tells which requests of one kind are among the tenth with the most work. */
final class LargeWork {

    /** Enough for a tenth to be a dozen requests; at 5 requests a second it covers the last 25 s. */
    private static final int MAX_SAMPLES = 128;

    private static final int MIN_SAMPLES = 20;
    private static final double LARGE_QUANTILE = 0.9;

    private final double[] workTokens = new double[MAX_SAMPLES];
    private int added;

    /** Records a request and returns whether it is large compared with those before it. */
    boolean add(double tokens) {
        int size = Math.min(added, MAX_SAMPLES);
        double[] sorted = Arrays.copyOf(workTokens, size);
        Arrays.sort(sorted);
        boolean large = size >= MIN_SAMPLES && tokens >= sorted[(int) (size * LARGE_QUANTILE)] && tokens > sorted[0];
        workTokens[added % MAX_SAMPLES] = tokens;
        added++;
        return large;
    }
}
