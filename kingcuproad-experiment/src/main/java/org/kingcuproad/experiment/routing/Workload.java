package org.kingcuproad.experiment.routing;

import java.util.SplittableRandom;
import org.kingcuproad.policy.routing.PromptPrefix;

/**
 * Draws requests: prompts of a workspace share prefixes, such as its instructions and form letters, and end
 * differently.
 */
final class Workload {

    /** Workspaces of one user organisation (design page, 1.1). */
    static final int WORKSPACES = 10;

    private static final int FAMILIES = 400;
    private static final double POPULARITY_EXPONENT = 0.9;
    private static final int MIN_SHARED_BLOCKS = 8;
    private static final int MAX_SHARED_BLOCKS = 32;
    private static final int MIN_OWN_BLOCKS = 2;
    private static final int MAX_OWN_BLOCKS = 8;
    private static final int MEAN_OUTPUT_TOKENS = 100;
    private static final int MIN_OUTPUT_TOKENS = 10;
    private static final int MAX_OUTPUT_TOKENS = 400;

    private final SplittableRandom random;
    private final double[] cumulativeShares;
    private final double[] cumulativePopularity = new double[FAMILIES / WORKSPACES];
    private int nextNumber;

    /**
     * Creates a workload.
     *
     * @param seed seed of the draws
     * @param noisyFactor rate of the first workspace as a multiple of each other's
     */
    Workload(long seed, double noisyFactor) {
        random = new SplittableRandom(seed);
        cumulativeShares = new double[WORKSPACES];
        double total = 0;
        for (int workspace = 0; workspace < WORKSPACES; workspace++) {
            total += workspace == 0 ? noisyFactor : 1;
            cumulativeShares[workspace] = total;
        }
        double popularity = 0;
        for (int family = 0; family < cumulativePopularity.length; family++) {
            popularity += Math.pow(family + 1, -POPULARITY_EXPONENT);
            cumulativePopularity[family] = popularity;
        }
    }

    Prompt next() {
        int workspace = pick(cumulativeShares);
        int family = workspace + WORKSPACES * pick(cumulativePopularity);
        int shared = MIN_SHARED_BLOCKS + Math.floorMod(mix(family), MAX_SHARED_BLOCKS - MIN_SHARED_BLOCKS + 1);
        int own = MIN_OWN_BLOCKS + random.nextInt(MAX_OWN_BLOCKS - MIN_OWN_BLOCKS + 1);
        long[] chain = new long[shared + own];
        long hash = mix(family);
        for (int block = 0; block < chain.length; block++) {
            hash = mix(block == shared ? hash ^ random.nextLong() : hash + block);
            chain[block] = hash;
        }
        double drawn = -Math.log(1 - random.nextDouble()) * MEAN_OUTPUT_TOKENS;
        int outputTokens = (int) Math.max(MIN_OUTPUT_TOKENS, Math.min(MAX_OUTPUT_TOKENS, drawn));
        return new Prompt(nextNumber++, workspace, PromptPrefix.ofHashes(chain), outputTokens);
    }

    /** Draws the time to the next arrival of a Poisson process. */
    long nextGapMicros(double requestsPerSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) / requestsPerSecond * 1e6);
    }

    int nextInt(int bound) {
        return random.nextInt(bound);
    }

    private int pick(double[] cumulative) {
        double drawn = random.nextDouble() * cumulative[cumulative.length - 1];
        int index = 0;
        while (cumulative[index] <= drawn) {
            index++;
        }
        return index;
    }

    private static long mix(long value) {
        long mixed = value + 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
