package org.kingcuproad.policy.placement;

/**
 * The assignment that a plan wants for one layer.
 *
 * @param layer index of the layer
 * @param slots the expert of each slot afterwards
 * @param moves number of slots that change
 * @param improvement reduction of the expected time of the slowest rank, as a share of the ideal time
 * @param value weighted value of the change in seconds of step time
 */
record LayerTarget(int layer, int[] slots, int moves, double improvement, double value) {

    boolean isReached(ExpertMap map) {
        return map.movesTo(layer, slots).isEmpty();
    }

    double valuePerMove() {
        return value / Math.max(1, moves);
    }
}
