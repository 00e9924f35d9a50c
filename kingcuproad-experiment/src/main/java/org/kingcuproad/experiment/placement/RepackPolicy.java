package org.kingcuproad.experiment.placement;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.model.PlacementSettings;
import org.kingcuproad.policy.placement.ExpertMap;
import org.kingcuproad.policy.placement.LoadSample;
import org.kingcuproad.policy.placement.PlacementPlanner;
import org.kingcuproad.policy.placement.Scenario;
import org.kingcuproad.policy.placement.SlotMove;

/**
 * Packs from scratch, heaviest replica first onto the lightest rank, either periodically or above a skew threshold, and
 * loads the new map layer by layer. Counts are averaged as the planner averages them.
 */
final class RepackPolicy implements PlacementPolicy {

    private static final double SMOOTHING = 0.1;

    private final long periodMs;
    private final double skewThreshold;
    private double @Nullable [][] tokens;
    private double[] slowness = {};
    private long nextMs;
    private @Nullable ExpertMap target;

    RepackPolicy(long periodMs, double skewThreshold) {
        this.periodMs = periodMs;
        this.skewThreshold = skewThreshold;
        this.nextMs = periodMs;
    }

    @Override
    public void observe(LoadSample sample) {
        double[][] fresh = sample.tokens();
        double[] time = Arrays.stream(sample.speed()).map(speed -> 1 / speed).toArray();
        double[][] averaged = tokens;
        if (averaged == null) {
            tokens = Arrays.stream(fresh).map(double[]::clone).toArray(double[][]::new);
            slowness = time;
            return;
        }
        for (int layer = 0; layer < fresh.length; layer++) {
            average(averaged[layer], fresh[layer]);
        }
        average(slowness, time);
    }

    @Override
    public Optional<Transfer> next(ExpertMap map, long nowMs) {
        ExpertMap wanted = target;
        if (wanted == null) {
            wanted = repack(map, nowMs);
            target = wanted;
        }
        if (wanted == null) {
            return Optional.empty();
        }
        Optional<Transfer> transfer = nextLayer(map, wanted, nowMs);
        if (transfer.isEmpty()) {
            target = null;
        }
        return transfer;
    }

    private @Nullable ExpertMap repack(ExpertMap map, long nowMs) {
        double[][] averaged = tokens;
        if (averaged == null || nowMs < nextMs) {
            return null;
        }
        double[][] load = Arrays.stream(averaged).map(double[]::clone).toArray(double[][]::new);
        Scenario expected = new Scenario(1, load, slowness.clone());
        if (expected.relativeStepTime(map) < skewThreshold) {
            return null;
        }
        nextMs = nowMs + periodMs;
        return PlacementPlanner.packFromScratch(map.group(), List.of(expected), map.version() + 1);
    }

    private static Optional<Transfer> nextLayer(ExpertMap map, ExpertMap wanted, long nowMs) {
        ModelGroup group = map.group();
        PlacementSettings settings = Settings.withRebalanceWeight(group, 1);
        for (int layer = 0; layer < group.layers(); layer++) {
            List<SlotMove> moves = moves(layer, map.layer(layer), wanted.layer(layer));
            if (!moves.isEmpty()) {
                long bytes = moves.size() * settings.expertBytes();
                long loadMs = Math.ceilDiv(bytes * 1000, settings.weightStoreBytesPerSecond());
                return Optional.of(new Transfer(map.withMoves(moves), bytes, nowMs + loadMs));
            }
        }
        return Optional.empty();
    }

    private static List<SlotMove> moves(int layer, int[] from, int[] to) {
        return IntStream.range(0, from.length)
                .filter(slot -> from[slot] != to[slot])
                .mapToObj(slot -> new SlotMove(layer, slot, to[slot]))
                .toList();
    }

    private static void average(double[] mean, double[] fresh) {
        for (int i = 0; i < mean.length; i++) {
            mean[i] += SMOOTHING * (fresh[i] - mean[i]);
        }
    }
}
