package org.kingcuproad.policy.placement;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.kingcuproad.model.ModelGroup;

/**
 * Immutable assignment of experts to the slots of a group.
 *
 * <p>Every expert of every layer has at least one replica; the factory methods reject a map without one. The load of an
 * expert is split evenly over its replicas.
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
     * @param group the group, which determines the dimensions of the map
     * @param version version of the map
     * @param expertOfSlot for each layer the expert of each slot; slots of one rank are adjacent
     * @return the map
     * @throws IllegalArgumentException if the dimensions differ from those of the group, an expert index is out of
     *     range or an expert has no replica
     */
    public static ExpertMap of(ModelGroup group, long version, int[][] expertOfSlot) {
        if (expertOfSlot.length != group.layers()) {
            throw new IllegalArgumentException("map has " + expertOfSlot.length + " layers, not " + group.layers());
        }
        int[][] copy = new int[expertOfSlot.length][];
        for (int layer = 0; layer < copy.length; layer++) {
            copy[layer] = expertOfSlot[layer].clone();
            validateLayer(group, layer, copy[layer]);
        }
        return new ExpertMap(group, version, copy);
    }

    /**
     * Builds the map of a group whose load is not known yet, which assigns the experts to the slots in turn.
     *
     * @param group the group, which determines the dimensions of the map
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
     * Returns a copy with the given moves applied and the version incremented.
     *
     * @param moves the slots to change; only the map after all of them is validated
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
     * Returns the version, which each change increments.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Returns the group that the map belongs to.
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
        return countReplicas(expertOfSlot[layer], group.expertsPerLayer());
    }

    /**
     * Computes the time that each rank takes for a layer.
     *
     * @param layer index of the layer
     * @param load load of each expert
     * @param slowness time per unit of load of each rank
     * @return the time by rank, in the unit of {@code load} times {@code slowness}
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
     * Lists the moves that turn a layer of this map into a target assignment.
     *
     * @param layer index of the layer
     * @param target expert of each slot after the moves
     * @return one move for each slot whose expert differs
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

    static int[] countReplicas(int[] slots, int experts) {
        int[] replicas = new int[experts];
        for (int expert : slots) {
            replicas[expert]++;
        }
        return replicas;
    }

    private static void validateLayer(ModelGroup group, int layer, int[] slots) {
        if (slots.length != group.ranks() * group.slotsPerRank()) {
            throw new IllegalArgumentException(
                    "layer " + layer + " has " + slots.length + " slots, not " + group.ranks() * group.slotsPerRank());
        }
        for (int expert : slots) {
            if (expert < 0 || expert >= group.expertsPerLayer()) {
                throw new IllegalArgumentException("layer " + layer + " refers to unknown expert " + expert);
            }
        }
        int[] replicas = countReplicas(slots, group.expertsPerLayer());
        for (int expert = 0; expert < replicas.length; expert++) {
            if (replicas[expert] == 0) {
                throw new IllegalArgumentException("layer " + layer + " has no replica of expert " + expert);
            }
        }
    }
}
