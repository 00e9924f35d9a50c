package org.kingcuproad.policy.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Detects ranks that are slow permanently or intermittently.
 *
 * <p>Isolated slow samples are ignored. A rank that is slow in several samples of the window is a straggler; the share
 * of slow samples since the first one in the window is the share of time for which the rank is expected to be slow.
 */
final class SpeedTracker {

    /**
     * A rank is slow in a sample if its slowness, relative to the median rank, reaches this; measured speeds vary by a
     * few percent.
     */
    private static final double SLOW_THRESHOLD = 1.2;

    /** Number of most recent samples kept per rank. */
    private static final int WINDOW_SAMPLES = 60;

    /** Slow samples in the window from which on a rank is a straggler; with fewer, single stalls would cause moves. */
    private static final int MIN_SLOW_SAMPLES = 5;

    /** From this share of slow samples on, a rank is expected to be slow all the time. */
    private static final double PERMANENTLY_SLOW_SHARE = 0.9;

    private final double[][] window;
    private final boolean[] straggler;
    private int samples;
    private final long[] stragglerSinceMs;

    SpeedTracker(int ranks) {
        window = new double[ranks][WINDOW_SAMPLES];
        straggler = new boolean[ranks];
        stragglerSinceMs = new long[ranks];
    }

    void accept(double[] slowness, long takenAtMs) {
        for (int rank = 0; rank < slowness.length; rank++) {
            window[rank][samples % WINDOW_SAMPLES] = slowness[rank];
        }
        samples++;
        for (int rank = 0; rank < slowness.length; rank++) {
            classify(rank, takenAtMs);
        }
    }

    /** Returns whether a rank is a straggler; once detected, it remains one until no sample of the window is slow. */
    boolean isStraggler(int rank) {
        return straggler[rank];
    }

    /**
     * Returns the time since the latest detection of a current straggler, in seconds; {@code Double.MAX_VALUE} if there
     * is none.
     */
    double observedSeconds(long nowMs) {
        double shortest = Double.MAX_VALUE;
        for (int rank = 0; rank < straggler.length; rank++) {
            if (straggler[rank]) {
                shortest = Math.min(shortest, (nowMs - stragglerSinceMs[rank]) / 1000.0);
            }
        }
        return shortest;
    }

    /**
     * Splits each scenario into one in which intermittent stragglers run at nominal speed and one in which they are
     * slow; permanent stragglers are slow in both.
     *
     * <p>Time saved per step counts once per step, and a slow group makes fewer steps in the same time. The weights of
     * slow scenarios are therefore divided by the square of the step time, which is the magnitude of the derivative of
     * steps per second with respect to step time.
     */
    List<Scenario> split(List<Scenario> scenarios, double expertShareOfStep) {
        double slowShare = 0;
        double slowest = 1;
        double[] permanentSlowness = new double[straggler.length];
        double[] stragglerSlowness = new double[straggler.length];
        Arrays.fill(permanentSlowness, 1);
        Arrays.fill(stragglerSlowness, 1);
        for (int rank = 0; rank < straggler.length; rank++) {
            if (straggler[rank]) {
                stragglerSlowness[rank] = meanSlowness(rank);
                if (slowShare(rank) >= PERMANENTLY_SLOW_SHARE) {
                    permanentSlowness[rank] = stragglerSlowness[rank];
                } else {
                    slowShare = Math.max(slowShare, slowShare(rank));
                    slowest = Math.max(slowest, stragglerSlowness[rank]);
                }
            }
        }
        double stepTime = 1 - expertShareOfStep + expertShareOfStep * slowest;
        double slowWeight = slowShare / (stepTime * stepTime);
        slowShare = slowWeight / (1 - slowShare + slowWeight);
        List<Scenario> split = new ArrayList<>();
        for (Scenario scenario : scenarios) {
            split.add(scenario.withWeightAndSlowness(scenario.weight() * (1 - slowShare), permanentSlowness));
            if (slowShare > 0) {
                split.add(scenario.withWeightAndSlowness(scenario.weight() * slowShare, stragglerSlowness));
            }
        }
        return split;
    }

    private void classify(int rank, long takenAtMs) {
        int slowSamples = countSlow(rank);
        if (!straggler[rank] && slowSamples >= MIN_SLOW_SAMPLES) {
            straggler[rank] = true;
            stragglerSinceMs[rank] = takenAtMs;
        } else if (straggler[rank] && slowSamples == 0) {
            straggler[rank] = false;
        }
    }

    private int countSlow(int rank) {
        return (int) Arrays.stream(window[rank], 0, Math.min(samples, WINDOW_SAMPLES))
                .filter(slowness -> slowness >= SLOW_THRESHOLD)
                .count();
    }

    private double meanSlowness(int rank) {
        return Arrays.stream(window[rank], 0, Math.min(samples, WINDOW_SAMPLES))
                .filter(slowness -> slowness >= SLOW_THRESHOLD)
                .average()
                .orElse(1);
    }

    private double slowShare(int rank) {
        int storedSamples = Math.min(samples, WINDOW_SAMPLES);
        int samplesSinceFirstSlow = 0;
        for (int age = 0; age < storedSamples; age++) {
            if (window[rank][Math.floorMod(samples - 1 - age, WINDOW_SAMPLES)] >= SLOW_THRESHOLD) {
                samplesSinceFirstSlow = age + 1;
            }
        }
        return samplesSinceFirstSlow == 0 ? 0 : (double) countSlow(rank) / samplesSinceFirstSlow;
    }
}
