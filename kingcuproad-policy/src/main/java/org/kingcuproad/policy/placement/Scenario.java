package org.kingcuproad.policy.placement;

/**
 * An expected state of load and rank speeds, weighted by the share of time that the group spends in it.
 *
 * <p>A group whose load alternates between two sets of hot experts has two scenarios; one map may suit both without
 * moves.
 */
public final class Scenario {

    private final double weight;
    private final double[][] load;
    private final double[] slowness;

    /**
     * Creates a scenario. The arrays are not copied and must not change afterwards.
     *
     * @param weight share of time that the group spends in this state
     * @param load load of each expert by layer, in any unit
     * @param slowness time per unit of load of each rank; 1 is the nominal speed, 2 half of it
     */
    public Scenario(double weight, double[][] load, double[] slowness) {
        this.weight = weight;
        this.load = load;
        this.slowness = slowness;
    }

    /**
     * Returns the share of time spent in this state.
     *
     * @return the weight
     */
    public double weight() {
        return weight;
    }

    /**
     * Returns the time of the slowest rank, averaged over the layers, relative to the time with perfectly balanced load
     * at nominal speed.
     *
     * @param map the map to evaluate
     * @return the relative time; at least 1 if no rank is faster than the nominal speed
     */
    public double relativeStepTime(ExpertMap map) {
        double sum = 0;
        for (int layer = 0; layer < load.length; layer++) {
            double slowest = 0;
            for (double time : map.rankTimes(layer, load[layer], slowness)) {
                slowest = Math.max(slowest, time);
            }
            sum += slowest / nominalTime(layer);
        }
        return sum / load.length;
    }

    /**
     * Returns a copy with another weight and other rank speeds.
     *
     * @param newWeight share of time spent in this state
     * @param newSlowness time per unit of load of each rank
     * @return the copy
     */
    Scenario withWeightAndSlowness(double newWeight, double[] newSlowness) {
        return new Scenario(newWeight, load, newSlowness);
    }

    double[] normalisedLoad(int layer) {
        double nominal = nominalTime(layer);
        double[] normalised = load[layer].clone();
        for (int expert = 0; expert < normalised.length; expert++) {
            normalised[expert] /= nominal;
        }
        return normalised;
    }

    double[] slowness() {
        return slowness;
    }

    double[][] load() {
        return load;
    }

    /** Returns the time if the load is split in proportion to speed, relative to an even split at nominal speed. */
    double minimumStepTime() {
        double totalSpeed = 0;
        for (double rankSlowness : slowness) {
            totalSpeed += 1 / rankSlowness;
        }
        return slowness.length / totalSpeed;
    }

    private double nominalTime(int layer) {
        double total = 0;
        for (double tokens : load[layer]) {
            total += tokens;
        }
        return total / slowness.length;
    }
}
