package org.kingcuproad.model;

/**
 * Weights and bounds of expert placement.
 *
 * @param skewWeight weight of step-time skew in the objective
 * @param rebalanceWeight weight of the cost of moves in the objective
 * @param paybackHorizonSeconds time within which a move must pay back, in seconds
 * @param weightStoreBytesPerSecond rate allowed at the weight store, in bytes a second
 * @param expertBytes size of the weights of one expert of one layer, in bytes
 */
public record PlacementSettings(
        double skewWeight,
        double rebalanceWeight,
        int paybackHorizonSeconds,
        long weightStoreBytesPerSecond,
        long expertBytes) {}
