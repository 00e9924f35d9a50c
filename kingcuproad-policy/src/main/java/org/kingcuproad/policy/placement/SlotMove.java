package org.kingcuproad.policy.placement;

/**
 * Loads the weights of an expert into a slot, in place of what the slot holds.
 *
 * @param layer index of the layer
 * @param slot index of the slot within the layer, {@code rank * slotsPerRank + position}
 * @param expert index of the expert that the slot holds afterwards
 */
public record SlotMove(int layer, int slot, int expert) {}
