package org.kingcuproad.policy.placement;

/**
 * The planned assignment of experts to the slots of one layer.
 *
 * @param layer index of the layer
 * @param slots expert of each slot after the change
 * @param moves number of slots whose expert changes
 * @param improvement reduction of the expected time of the slowest rank, as a share of the ideal time
 * @param value weighted saving of step time less weighted cost of the moves, in seconds
 */
record LayerTarget(int layer, int[] slots, int moves, double improvement, double value) {

    boolean isReached(ExpertMap map) {
        return map.movesTo(layer, slots).isEmpty();
    }

    double valuePerMove() {
        return value / Math.max(1, moves);
    }
}
