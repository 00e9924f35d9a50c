package org.kingcuproad.policy.placement;

/**
 * One state of load and speed that the planner prepares for.
 *
 * <p>A group whose load alternates between two hot sets has two scenarios; a map may serve both without moves.
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
     * @param slowness time per unit of load of each rank; 1 is the usual speed, 2 half of it
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
     * Returns the time of the slowest rank, averaged over the layers, in units of the time of a perfect split at the
     * usual speed.
     *
     * @param map the map to rate
     * @return the time; at least 1 if no rank is faster than usual
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
     * Returns a copy with another weight and speeds.
     *
     * @param newWeight share of time spent in this state
     * @param newSlowness time per unit of load of each rank
     * @return the copy
     */
    Scenario with(double newWeight, double[] newSlowness) {
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

    /** Returns the time of a perfect split by speed, in units of one at the usual speed. */
    double leastStepTime() {
        double speed = 0;
        for (double slow : slowness) {
            speed += 1 / slow;
        }
        return slowness.length / speed;
    }

    private double nominalTime(int layer) {
        double total = 0;
        for (double tokens : load[layer]) {
            total += tokens;
        }
        return total / slowness.length;
    }
}
