package org.kingcuproad.policy.placement;

import java.util.Arrays;

/** Token counts and rank speeds measured in one sampling interval. */
public final class LoadSample {

    /** Lower bound of speeds: a stalled rank reports a speed near 0, and its slowness must stay finite for averages. */
    private static final double MIN_SPEED = 0.05;

    private final long takenAtMs;
    private final double[][] tokens;
    private final double[] speed;

    /**
     * Creates a sample. The arrays are not copied and must not change afterwards.
     *
     * @param takenAtMs end of the interval, in milliseconds
     * @param tokens tokens of each expert by layer
     * @param speed measured speed of each rank; 1 is the nominal speed
     */
    public LoadSample(long takenAtMs, double[][] tokens, double[] speed) {
        this.takenAtMs = takenAtMs;
        this.tokens = tokens;
        this.speed = speed;
    }

    /**
     * Returns the end of the sampling interval.
     *
     * @return the time, in milliseconds
     */
    public long takenAtMs() {
        return takenAtMs;
    }

    /**
     * Returns the token counts.
     *
     * @return a copy of the tokens of each expert by layer
     */
    public double[][] tokens() {
        return Arrays.stream(tokens).map(double[]::clone).toArray(double[][]::new);
    }

    /**
     * Returns the measured speeds.
     *
     * @return a copy of the speed of each rank; 1 is the nominal speed
     */
    public double[] speed() {
        return speed.clone();
    }

    /**
     * Returns the shares of the experts in the load of each layer.
     *
     * @return for each layer the share of each expert; even shares for a layer without tokens
     */
    double[][] shares() {
        double[][] shares = new double[tokens.length][];
        for (int layer = 0; layer < tokens.length; layer++) {
            shares[layer] = normalise(tokens[layer]);
        }
        return shares;
    }

    /**
     * Returns the time per unit of load of each rank.
     *
     * @return the slowness by rank; 1 for a rank of median speed
     */
    double[] slowness() {
        double[] sorted = speed.clone();
        Arrays.sort(sorted);
        double median = Math.max(sorted[sorted.length / 2], MIN_SPEED);
        double[] slowness = new double[speed.length];
        for (int rank = 0; rank < slowness.length; rank++) {
            slowness[rank] = median / Math.max(speed[rank], MIN_SPEED * median);
        }
        return slowness;
    }

    private static double[] normalise(double[] counts) {
        double total = Arrays.stream(counts).sum();
        double[] shares = counts.clone();
        for (int expert = 0; expert < shares.length; expert++) {
            shares[expert] = total > 0 ? shares[expert] / total : 1.0 / shares.length;
        }
        return shares;
    }
}
