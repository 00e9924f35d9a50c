package org.kingcuproad.policy.lockstep;

import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

/** Requests that choose experts by popularity, which can shift. Each request has favourites of its own. */
final class SimulatedDemand {

    private static final long TOKENS_PER_PICK = 200;

    private final GroupShape shape;
    private final int ranks;
    private final double skew;
    private final int picksPerRequest;
    private final Random random;
    private final double[][] popularity;
    private final long[][] counters;
    private final long[][] runningPass;
    private final ChoiceSampler[] samplers;

    SimulatedDemand(GroupShape shape, int ranks, double skew, int picksPerRequest, long seed) {
        this.shape = shape;
        this.ranks = ranks;
        this.skew = skew;
        this.picksPerRequest = picksPerRequest;
        this.random = new Random(seed);
        this.popularity = IntStream.range(0, shape.sets())
                .mapToObj(set -> shuffledPopularity())
                .toArray(double[][]::new);
        this.counters = new long[ranks][shape.sets() * shape.expertsPerSet()];
        this.runningPass = new long[ranks][shape.sets() * shape.expertsPerSet()];
        this.samplers =
                IntStream.range(0, ranks).mapToObj(rank -> new ChoiceSampler()).toArray(ChoiceSampler[]::new);
    }

    private double[] shuffledPopularity() {
        double[] weights = IntStream.rangeClosed(1, shape.expertsPerSet())
                .mapToDouble(position -> Math.pow(position, -skew))
                .toArray();
        for (int index = weights.length - 1; index > 0; index--) {
            swap(weights, index, random.nextInt(index + 1));
        }
        double total = Arrays.stream(weights).sum();
        return Arrays.stream(weights).map(weight -> weight / total).toArray();
    }

    private static void swap(double[] values, int first, int second) {
        double value = values[first];
        values[first] = values[second];
        values[second] = value;
    }

    /** Exchanges the popularity of a share of the experts. */
    void shift(double share) {
        for (double[] weights : popularity) {
            for (int index = 0; index < weights.length; index++) {
                if (random.nextDouble() < share) {
                    swap(weights, index, random.nextInt(weights.length));
                }
            }
        }
    }

    /** Lets requests arrive, each at a random rank. */
    void arrive(double requests) {
        int count = (int) requests + (random.nextDouble() < requests % 1 ? 1 : 0);
        for (int request = 0; request < count; request++) {
            long[] rankCounters = runningPass[random.nextInt(ranks)];
            for (int set = 0; set < shape.sets(); set++) {
                for (int pick = 0; pick < picksPerRequest; pick++) {
                    rankCounters[set * shape.expertsPerSet() + pick(popularity[set])] += TOKENS_PER_PICK;
                }
            }
        }
    }

    /** Adds the choices of the pass that has ended to the counters. */
    void endPass() {
        for (int rank = 0; rank < ranks; rank++) {
            for (int index = 0; index < counters[rank].length; index++) {
                counters[rank][index] += runningPass[rank][index];
                runningPass[rank][index] = 0;
            }
        }
    }

    private int pick(double[] weights) {
        double draw = random.nextDouble();
        int expert = 0;
        while (expert < weights.length - 1 && draw >= weights[expert]) {
            draw -= weights[expert];
            expert++;
        }
        return expert;
    }

    Optional<ChoiceSample> sample(int rank) {
        return samplers[rank].sample(counters[rank]);
    }

    /** Returns the load of the most loaded rank under the true popularity, averaged over the sets. */
    double maxLoad(ExpertPlacement placement) {
        double[] even = new double[ranks];
        Arrays.fill(even, 1);
        return IntStream.range(0, shape.sets())
                .mapToDouble(
                        set -> ReplicaPlanner.maxRankLoad(shape, placement.expertsByRank(set), popularity[set], even))
                .average()
                .orElseThrow();
    }
}
