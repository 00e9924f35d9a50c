package org.kingcuproad.policy.lockstep;

import java.util.Arrays;

/**
 * Exponentially decayed counts of how often experts were chosen, from the samples of all ranks.
 *
 * <p>Older choices count less, since the popularity of experts can shift every few seconds.
 */
public final class ExpertLoads {

    private final double halfLifeMs;
    private double[] decayedCounts = new double[0];
    private long lastDecayMs;

    /**
     * Creates loads without any choices.
     *
     * @param halfLifeMs time after which the weight of a choice is halved, in milliseconds
     */
    public ExpertLoads(double halfLifeMs) {
        this.halfLifeMs = halfLifeMs;
    }

    /**
     * Adds a sample of one rank. A change in the number of counters discards all earlier choices.
     *
     * @param sample choices of the rank's requests since its last sample
     * @param nowMs current time, in milliseconds
     */
    public void onSample(ChoiceSample sample, long nowMs) {
        if (decayedCounts.length != sample.counterCount()) {
            decayedCounts = new double[sample.counterCount()];
        }
        decay(nowMs);
        for (int index = 0; index < decayedCounts.length; index++) {
            decayedCounts[index] += sample.choices(index);
        }
    }

    /**
     * Returns the loads of one set.
     *
     * @param set index of the set
     * @param expertsPerSet number of experts in a set
     * @return decayed choice counts by expert
     */
    public double[] ofSet(int set, int expertsPerSet) {
        return Arrays.copyOfRange(decayedCounts, set * expertsPerSet, (set + 1) * expertsPerSet);
    }

    /**
     * Returns the number of recent choices over all sets.
     *
     * @return the decayed number of choices
     */
    public double total() {
        return Arrays.stream(decayedCounts).sum();
    }

    private void decay(long nowMs) {
        double factor = Math.pow(0.5, (nowMs - lastDecayMs) / halfLifeMs);
        lastDecayMs = nowMs;
        for (int index = 0; index < decayedCounts.length; index++) {
            decayedCounts[index] *= factor;
        }
    }
}
