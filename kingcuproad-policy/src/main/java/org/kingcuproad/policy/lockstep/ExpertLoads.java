package org.kingcuproad.policy.lockstep;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * How often experts were chosen recently, from counters that ranks keep since their start.
 *
 * <p>Older choices count less, since popularity shifts every few seconds on the worst days.
 */
public final class ExpertLoads {

    private final double halfLifeMs;
    private final Map<Integer, long[]> counters = new HashMap<>();
    private double[] recent = new double[0];
    private long decayedMs;

    /**
     * Creates empty loads.
     *
     * @param halfLifeMs time after which a choice counts half, in milliseconds
     */
    public ExpertLoads(double halfLifeMs) {
        this.halfLifeMs = halfLifeMs;
    }

    /**
     * Takes counters of a rank.
     *
     * @param rank the rank
     * @param offset position of the first counter among all of the rank's
     * @param values the counters
     * @param total number of counters of a rank
     * @param nowMs current time, in milliseconds
     */
    public void onCounters(int rank, int offset, long[] values, int total, long nowMs) {
        if (recent.length != total) {
            recent = new double[total];
            counters.clear();
        }
        decay(nowMs);
        long[] known = counters.computeIfAbsent(rank, unused -> {
            long[] unknown = new long[total];
            Arrays.fill(unknown, -1);
            return unknown;
        });
        for (int at = 0; at < values.length && offset + at < total; at++) {
            long before = known[offset + at];
            // A lower value means that the rank started again; its first value can't be dated.
            if (before >= 0 && values[at] > before) {
                recent[offset + at] += values[at] - before;
            }
            known[offset + at] = values[at];
        }
    }

    /**
     * Returns the loads of one set.
     *
     * @param set the set
     * @param experts experts of a set
     * @return the recent choices by expert
     */
    public double[] ofSet(int set, int experts) {
        return Arrays.copyOfRange(recent, set * experts, (set + 1) * experts);
    }

    /**
     * Returns the number of recent choices over all sets.
     *
     * @return the number, older choices counted in part
     */
    public double total() {
        return Arrays.stream(recent).sum();
    }

    private void decay(long nowMs) {
        double factor = Math.pow(0.5, (nowMs - decayedMs) / halfLifeMs);
        decayedMs = nowMs;
        for (int at = 0; at < recent.length; at++) {
            recent[at] *= factor;
        }
    }
}
