package org.kingcuproad.experiment.placement;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.kingcuproad.model.ModelGroup;

/** Seeded load with a Zipf-like base, drift by kind of input, and a slowly varying jitter. */
final class SyntheticInput implements LoadInput {

    private static final double ZIPF_EXPONENT = 0.8;

    /** Swing of the logarithm of popularity in the Authority's season; a hot expert varies by a factor of about 4. */
    private static final double SEASON_SWING = 0.7;

    private static final double SEASON_PERIODS = 1.0;
    private static final double ELECTION_RISE = 1.0;
    private static final double HOT_SHARE = 0.4;
    private static final int HOT_FRACTION = 8;
    private static final long ALTERNATION_MS = 15 * 60_000L;
    private static final long FLICKER_LEAST_MS = 60_000;
    private static final long FLICKER_MOST_MS = 400_000;
    private static final double SLOWNESS = 2.0;
    private static final long BURST_MS = 60_000;
    private static final long BURST_PERIOD_MS = 300_000;
    private static final double JITTER = 0.02;
    private static final double JITTER_SECONDS = 600;

    private final InputKind kind;
    private final ModelGroup group;
    private final long durationMs;
    private final SplittableRandom random;
    private final double[][] base;
    private final double[][] second;
    private final double[][] phase;
    private final double[][] jitter;
    private int[][] hot;
    private final int[][] otherHot;
    private long nextFlickerMs;
    private long lastMs;

    SyntheticInput(InputKind kind, ModelGroup group, long seed, long durationMs) {
        this.kind = kind;
        this.group = group;
        this.durationMs = durationMs;
        this.random = new SplittableRandom(seed);
        base = new double[group.layers()][];
        second = new double[group.layers()][];
        phase = new double[group.layers()][group.expertsPerLayer()];
        jitter = new double[group.layers()][group.expertsPerLayer()];
        for (int layer = 0; layer < base.length; layer++) {
            base[layer] = zipf();
            second[layer] = zipf();
            Arrays.setAll(phase[layer], expert -> random.nextDouble(2 * Math.PI));
        }
        hot = hotSets();
        otherHot = hotSets();
    }

    @Override
    public GroupState usual() {
        double[] usualSpeed = new double[group.ranks()];
        Arrays.fill(usualSpeed, 1);
        return new GroupState(base, usualSpeed);
    }

    @Override
    public GroupState at(long timeMs) {
        double seconds = (timeMs - lastMs) / 1000.0;
        lastMs = timeMs;
        if (kind == InputKind.FLICKER && timeMs >= nextFlickerMs) {
            hot = hotSets();
            nextFlickerMs = timeMs + random.nextLong(FLICKER_LEAST_MS, FLICKER_MOST_MS);
        }
        double[][] shares = new double[group.layers()][];
        for (int layer = 0; layer < shares.length; layer++) {
            advanceJitter(jitter[layer], seconds);
            shares[layer] = shares(layer, timeMs);
        }
        return new GroupState(shares, slowness(timeMs));
    }

    private double[] shares(int layer, long timeMs) {
        double[] weights = new double[group.expertsPerLayer()];
        for (int expert = 0; expert < weights.length; expert++) {
            weights[expert] = Math.exp(logPopularity(layer, expert, timeMs) + jitter[layer][expert]);
        }
        double[] shares = scale(weights, 1);
        return switch (kind) {
            case ALTERNATING -> withHotSet(shares, (timeMs / ALTERNATION_MS) % 2 == 0 ? hot[layer] : otherHot[layer]);
            case FLICKER -> withHotSet(shares, hot[layer]);
            default -> shares;
        };
    }

    private double logPopularity(int layer, int expert, long timeMs) {
        double progress = (double) timeMs / durationMs;
        double first = Math.log(base[layer][expert]);
        return switch (kind) {
            case AUTHORITY_SEASON ->
                first
                        + SEASON_SWING * Math.sin(2 * Math.PI * SEASON_PERIODS * progress + phase[layer][expert])
                        + (isHot(layer, expert) ? ELECTION_RISE * progress : 0);
            case WIERZBICKI_SEASON -> (1 - progress) * first + progress * Math.log(second[layer][expert]);
            case SUDDEN_SHIFT -> progress < 1.0 / 3 ? first : Math.log(second[layer][expert]);
            default -> first;
        };
    }

    private double[] slowness(long timeMs) {
        double[] slowness = new double[group.ranks()];
        Arrays.fill(slowness, 1);
        boolean slow = switch (kind) {
            case STRAGGLER_CONSTANT -> timeMs >= durationMs / 4;
            case STRAGGLER_BURSTS -> timeMs % BURST_PERIOD_MS < BURST_MS && timeMs >= durationMs / 4;
            default -> false;
        };
        slowness[1] = slow ? SLOWNESS : 1;
        return slowness;
    }

    private void advanceJitter(double[] values, double seconds) {
        double keep = Math.exp(-seconds / JITTER_SECONDS);
        double fresh = JITTER * Math.sqrt(1 - keep * keep);
        for (int expert = 0; expert < values.length; expert++) {
            values[expert] = keep * values[expert] + fresh * random.nextGaussian();
        }
    }

    private double[] zipf() {
        int[] order = permutation();
        double[] weights = new double[order.length];
        Arrays.setAll(weights, expert -> Math.pow(order[expert] + 1.0, -ZIPF_EXPONENT));
        return scale(weights, 1);
    }

    private int[] permutation() {
        int[] order = new int[group.expertsPerLayer()];
        Arrays.setAll(order, expert -> expert);
        for (int i = order.length - 1; i > 0; i--) {
            int j = random.nextInt(i + 1);
            int kept = order[i];
            order[i] = order[j];
            order[j] = kept;
        }
        return order;
    }

    private int[][] hotSets() {
        int size = Math.max(1, group.expertsPerLayer() / HOT_FRACTION);
        int[][] sets = new int[group.layers()][];
        Arrays.setAll(sets, layer -> Arrays.copyOf(permutation(), size));
        return sets;
    }

    private boolean isHot(int layer, int expert) {
        return Arrays.stream(hot[layer]).anyMatch(member -> member == expert);
    }

    private static double[] withHotSet(double[] shares, int[] set) {
        double[] mixed = scale(shares, 1 - HOT_SHARE);
        for (int expert : set) {
            mixed[expert] += HOT_SHARE / set.length;
        }
        return mixed;
    }

    private static double[] scale(double[] weights, double total) {
        double sum = Arrays.stream(weights).sum();
        return Arrays.stream(weights).map(weight -> weight * total / sum).toArray();
    }
}
