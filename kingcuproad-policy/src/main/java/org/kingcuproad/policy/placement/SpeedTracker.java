package org.kingcuproad.policy.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Detects ranks that are slow for good or in bursts.
 *
 * <p>Single slow samples are ignored. A rank that is slow in several samples of the window is a straggler; the share of
 * slow samples since the first of them gives the share of time for which the planner expects it to be slow.
 */
final class SpeedTracker {

    /**
     * A rank is slow in a sample if it takes this much longer than the median; measured speeds vary by a few percent.
     */
    private static final double SLOW_FROM = 1.2;

    /** Samples remembered per rank. */
    private static final int WINDOW = 60;

    /** Slow samples that make a straggler; fewer would let single stalls cause moves. */
    private static final int SLOW_SAMPLES = 5;

    /** From this share of slow samples on, the planner treats the rank as slow for good. */
    private static final double ALWAYS = 0.9;

    private final double[][] window;
    private final boolean[] straggler;
    private int samples;
    private final long[] slowSinceMs;

    SpeedTracker(int ranks) {
        window = new double[ranks][WINDOW];
        straggler = new boolean[ranks];
        slowSinceMs = new long[ranks];
    }

    void accept(double[] slowness, long takenAtMs) {
        for (int rank = 0; rank < slowness.length; rank++) {
            window[rank][samples % WINDOW] = slowness[rank];
        }
        samples++;
        for (int rank = 0; rank < slowness.length; rank++) {
            classify(rank, takenAtMs);
        }
    }

    /** Returns whether a rank is treated as a straggler. */
    boolean isStraggler(int rank) {
        return straggler[rank];
    }

    /** Returns the time since the newest straggler was found, in seconds. */
    double evidenceSeconds(long nowMs) {
        double least = Double.MAX_VALUE;
        for (int rank = 0; rank < straggler.length; rank++) {
            if (straggler[rank]) {
                least = Math.min(least, (nowMs - slowSinceMs[rank]) / 1000.0);
            }
        }
        return least;
    }

    /**
     * Splits scenarios into those with the usual speed and those in which stragglers are slow.
     *
     * <p>A time saved per step counts once per step, and a slow group makes fewer steps in the same time. Weights are
     * therefore divided by the square of the step time, the slope of steps per second over step time.
     */
    List<Scenario> split(List<Scenario> scenarios, double expertShareOfStep) {
        double slowShare = 0;
        double slowest = 1;
        double[] always = new double[straggler.length];
        double[] slow = new double[straggler.length];
        Arrays.fill(always, 1);
        Arrays.fill(slow, 1);
        for (int rank = 0; rank < straggler.length; rank++) {
            if (straggler[rank]) {
                slow[rank] = meanSlowness(rank);
                if (slowShare(rank) >= ALWAYS) {
                    always[rank] = slow[rank];
                } else {
                    slowShare = Math.max(slowShare, slowShare(rank));
                    slowest = Math.max(slowest, slow[rank]);
                }
            }
        }
        double stepTime = 1 - expertShareOfStep + expertShareOfStep * slowest;
        double slowWeight = slowShare / (stepTime * stepTime);
        slowShare = slowWeight / (1 - slowShare + slowWeight);
        List<Scenario> split = new ArrayList<>();
        for (Scenario scenario : scenarios) {
            split.add(scenario.with(scenario.weight() * (1 - slowShare), always));
            if (slowShare > 0) {
                split.add(scenario.with(scenario.weight() * slowShare, slow));
            }
        }
        return split;
    }

    private void classify(int rank, long takenAtMs) {
        int slow = countSlow(rank);
        if (!straggler[rank] && slow >= SLOW_SAMPLES) {
            straggler[rank] = true;
            slowSinceMs[rank] = takenAtMs;
        } else if (straggler[rank] && slow == 0) {
            straggler[rank] = false;
        }
    }

    private int countSlow(int rank) {
        return (int) Arrays.stream(window[rank], 0, Math.min(samples, WINDOW))
                .filter(slowness -> slowness >= SLOW_FROM)
                .count();
    }

    private double meanSlowness(int rank) {
        return Arrays.stream(window[rank], 0, Math.min(samples, WINDOW))
                .filter(slowness -> slowness >= SLOW_FROM)
                .average()
                .orElse(1);
    }

    private double slowShare(int rank) {
        int known = Math.min(samples, WINDOW);
        int sinceFirst = 0;
        for (int age = 0; age < known; age++) {
            if (window[rank][Math.floorMod(samples - 1 - age, WINDOW)] >= SLOW_FROM) {
                sinceFirst = age + 1;
            }
        }
        return sinceFirst == 0 ? 0 : (double) countSlow(rank) / sinceFirst;
    }
}
