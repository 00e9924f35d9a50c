package org.kingcuproad.policy.placement;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.kingcuproad.model.ModelGroup;

/**
 * Which expert each slot of a group holds, as an immutable value.
 *
 * <p>Every expert of every layer has at least one replica; a map without one cannot be built. The load of an expert
 * splits evenly over its replicas.
 */
public final class ExpertMap {

    private final ModelGroup group;
    private final long version;
    private final int[][] expertOfSlot;

    private ExpertMap(ModelGroup group, long version, int[][] expertOfSlot) {
        this.group = group;
        this.version = version;
        this.expertOfSlot = expertOfSlot;
    }

    /**
     * Builds a map from the expert of each slot.
     *
     * @param group the shape of the group
     * @param version version of the map
     * @param expertOfSlot for each layer the expert of each slot; slots of one rank are adjacent
     * @return the map
     * @throws IllegalArgumentException if the shape does not fit or an expert has no replica
     */
    public static ExpertMap of(ModelGroup group, long version, int[][] expertOfSlot) {
        if (expertOfSlot.length != group.layers()) {
            throw new IllegalArgumentException("map has " + expertOfSlot.length + " layers, not " + group.layers());
        }
        int[][] copy = new int[expertOfSlot.length][];
        for (int layer = 0; layer < copy.length; layer++) {
            copy[layer] = expertOfSlot[layer].clone();
            requireComplete(group, layer, copy[layer]);
        }
        return new ExpertMap(group, version, copy);
    }

    /**
     * Builds the map of a group that has seen no load: the experts in turn over the slots.
     *
     * @param group the shape of the group
     * @return the map, with version 0
     */
    public static ExpertMap roundRobin(ModelGroup group) {
        int[] layer = new int[group.ranks() * group.slotsPerRank()];
        Arrays.setAll(layer, slot -> slot % group.expertsPerLayer());
        int[][] layers = new int[group.layers()][];
        Arrays.fill(layers, layer);
        return of(group, 0, layers);
    }

    /**
     * Returns a copy in which some slots hold other experts, with the next version.
     *
     * @param moves the changes, all of which take effect together
     * @return the new map
     * @throws IllegalArgumentException if an expert would be left without a replica
     */
    public ExpertMap withMoves(List<SlotMove> moves) {
        int[][] changed = expertOfSlot.clone();
        moves.stream().mapToInt(SlotMove::layer).distinct().forEach(layer -> changed[layer] = changed[layer].clone());
        moves.forEach(move -> changed[move.layer()][move.slot()] = move.expert());
        return of(group, version + 1, changed);
    }

    /**
     * Returns the version, which grows with each change.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns the group whose shape the map has.
     *
     * @return the group
     */
    public ModelGroup group() {
        return group;
    }

    /**
     * Returns the expert of each slot of a layer.
     *
     * @param layer index of the layer
     * @return a copy; slots of one rank are adjacent
     */
    public int[] layer(int layer) {
        return expertOfSlot[layer].clone();
    }

    /**
     * Returns the number of replicas of each expert of a layer.
     *
     * @param layer index of the layer
     * @return the counts by expert, each at least one
     */
    public int[] replicas(int layer) {
        return count(expertOfSlot[layer], group.expertsPerLayer());
    }

    /**
     * Computes the time of each rank in a layer.
     *
     * @param layer index of the layer
     * @param load load of each expert
     * @param slowness time per unit of load of each rank
     * @return the time by rank
     */
    public double[] rankTimes(int layer, double[] load, double[] slowness) {
        int[] slots = expertOfSlot[layer];
        int[] replicas = replicas(layer);
        double[] times = new double[group.ranks()];
        for (int slot = 0; slot < slots.length; slot++) {
            int rank = slot / group.slotsPerRank();
            times[rank] += slowness[rank] * load[slots[slot]] / replicas[slots[slot]];
        }
        return times;
    }

    /**
     * Lists the moves that lead from this map to a target layer.
     *
     * @param layer index of the layer
     * @param target the expert of each slot afterwards
     * @return the slots that change
     */
    List<SlotMove> movesTo(int layer, int[] target) {
        int[] slots = expertOfSlot[layer];
        return IntStream.range(0, slots.length)
                .filter(slot -> slots[slot] != target[slot])
                .mapToObj(slot -> new SlotMove(layer, slot, target[slot]))
                .toList();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ExpertMap that
                && version == that.version
                && group.equals(that.group)
                && Arrays.deepEquals(expertOfSlot, that.expertOfSlot);
    }

    @Override
    public int hashCode() {
        return Long.hashCode(version) * 31 + Arrays.deepHashCode(expertOfSlot);
    }

    @Override
    public String toString() {
        return "ExpertMap[group=" + group.name() + ", version=" + version + "]";
    }

    static int[] count(int[] slots, int experts) {
        int[] replicas = new int[experts];
        for (int expert : slots) {
            replicas[expert]++;
        }
        return replicas;
    }

    private static void requireComplete(ModelGroup group, int layer, int[] slots) {
        if (slots.length != group.ranks() * group.slotsPerRank()) {
            throw new IllegalArgumentException(
                    "layer " + layer + " has " + slots.length + " slots, not " + group.ranks() * group.slotsPerRank());
        }
        for (int expert : slots) {
            if (expert < 0 || expert >= group.expertsPerLayer()) {
                throw new IllegalArgumentException("layer " + layer + " names expert " + expert);
            }
        }
        int[] replicas = count(slots, group.expertsPerLayer());
        for (int expert = 0; expert < replicas.length; expert++) {
            if (replicas[expert] == 0) {
                throw new IllegalArgumentException("layer " + layer + " has no replica of expert " + expert);
            }
        }
    }
}
