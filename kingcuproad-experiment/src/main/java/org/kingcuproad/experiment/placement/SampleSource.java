package org.kingcuproad.experiment.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.kingcuproad.policy.placement.LoadSample;

/** Measures the true state with noise and delivers the samples late; some are lost and some arrive twice. */
final class SampleSource {

    private static final double COUNT_NOISE = 0.05;
    private static final double SPEED_NOISE = 0.03;
    private static final int DELAY_SAMPLES = 1;
    private static final double LOST = 0.05;
    private static final double REPEATED = 0.05;
    private static final double TOKENS = 1e6;

    private final SplittableRandom random;
    private final Deque<LoadSample> underway = new ArrayDeque<>();

    SampleSource(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Takes a sample and returns those that arrive now. */
    List<LoadSample> sample(GroupState state, long timeMs) {
        underway.addLast(measure(state, timeMs));
        List<LoadSample> arrived = new ArrayList<>();
        if (underway.size() > DELAY_SAMPLES) {
            LoadSample next = underway.removeFirst();
            if (random.nextDouble() >= LOST) {
                arrived.add(next);
            }
            if (random.nextDouble() < REPEATED) {
                arrived.add(next);
            }
        }
        return arrived;
    }

    private LoadSample measure(GroupState state, long timeMs) {
        double[][] tokens = new double[state.shares().length][];
        for (int layer = 0; layer < tokens.length; layer++) {
            double[] shares = state.shares()[layer];
            tokens[layer] = new double[shares.length];
            for (int expert = 0; expert < shares.length; expert++) {
                double noise = Math.exp(COUNT_NOISE * random.nextGaussian());
                tokens[layer][expert] = Math.rint(TOKENS * shares[expert] * noise);
            }
        }
        double[] speed = new double[state.slowness().length];
        for (int rank = 0; rank < speed.length; rank++) {
            speed[rank] = Math.exp(SPEED_NOISE * random.nextGaussian()) / state.slowness()[rank];
        }
        return new LoadSample(timeMs, tokens, speed);
    }
}
