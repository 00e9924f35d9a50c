package org.kingcuproad.policy.lockstep;

import java.util.Arrays;

/**
 * How often experts were chosen recently, from samples of all ranks.
 *
 * <p>Older choices count less, since popularity shifts every few seconds on the worst days.
 */
public final class ExpertLoads {

    private final double halfLifeMs;
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
     * Takes what the requests of one rank chose since its last sample.
     *
     * @param sample the choices
     * @param nowMs current time, in milliseconds
     */
    public void onSample(ChoiceSample sample, long nowMs) {
        if (recent.length != sample.total()) {
            recent = new double[sample.total()];
        }
        decay(nowMs);
        for (int at = 0; at < recent.length; at++) {
            recent[at] += sample.choices(at);
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
