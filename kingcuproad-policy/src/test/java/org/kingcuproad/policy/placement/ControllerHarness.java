package org.kingcuproad.policy.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.model.PlacementSettings;

/** Feeds noisy samples to a controller and carries out the batches that it starts. */
final class ControllerHarness {

    static final long INTERVAL_MS = 30_000;
    static final PlacementSettings SETTINGS = new PlacementSettings(1, 1, 1800, 50_000_000, 44_000_000);

    final PlacementController controller;
    final List<MoveBatch> batches = new ArrayList<>();
    final List<KeepReason> keepReasons = new ArrayList<>();
    private final SplittableRandom random;
    private final double noise;
    private Optional<MoveBatch> loading = Optional.empty();
    private long nowMs;

    ControllerHarness(ModelGroup group, long seed, double noise) {
        this(group, seed, noise, PlacementTuning.defaults());
    }

    ControllerHarness(ModelGroup group, long seed, double noise, PlacementTuning tuning) {
        this.random = new SplittableRandom(seed);
        this.noise = noise;
        this.controller = new PlacementController(ExpertMap.roundRobin(group), SETTINGS, tuning);
    }

    static ModelGroup group(int ranks, int layers, int experts, int slots) {
        return new ModelGroup("group", "model", ranks, layers, experts, slots);
    }

    /** Returns Zipf-like loads; the shift determines which experts have the highest load. */
    static double[][] load(ModelGroup group, int shift) {
        double[][] load = new double[group.layers()][group.expertsPerLayer()];
        for (int layer = 0; layer < load.length; layer++) {
            for (int expert = 0; expert < load[layer].length; expert++) {
                load[layer][expert] = 1.0 / (1 + (expert * 5 + layer + shift) % load[layer].length);
            }
        }
        return load;
    }

    static double[] nominalSpeeds(ModelGroup group) {
        double[] speed = new double[group.ranks()];
        Arrays.fill(speed, 1);
        return speed;
    }

    /** Runs for a number of samples; the switch of each batch is aborted with the given probability. */
    void run(int samples, double[][] tokens, double[] speed, double abortProbability) {
        for (int i = 0; i < samples; i++) {
            nowMs += INTERVAL_MS;
            controller.observe(new LoadSample(nowMs, withNoise(tokens), speed));
            completeLoading(abortProbability);
            switch (controller.decide(nowMs)) {
                case PlacementDecision.Load load -> {
                    loading = Optional.of(load.batch());
                    batches.add(load.batch());
                }
                case PlacementDecision.Keep keep -> keepReasons.add(keep.reason());
            }
        }
    }

    private void completeLoading(double abortProbability) {
        if (loading.isPresent() && nowMs >= loading.get().earliestSwitchMs()) {
            loading = Optional.empty();
            if (random.nextDouble() < abortProbability) {
                controller.batchAborted();
            } else {
                controller.batchApplied();
            }
        }
    }

    private double[][] withNoise(double[][] load) {
        double[][] noisyLoad = new double[load.length][];
        for (int layer = 0; layer < load.length; layer++) {
            noisyLoad[layer] = Arrays.stream(load[layer])
                    .map(tokens -> 1e5 * tokens * Math.exp(noise * random.nextGaussian()))
                    .toArray();
        }
        return noisyLoad;
    }
}
