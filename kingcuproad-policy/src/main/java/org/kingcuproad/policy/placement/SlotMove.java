package org.kingcuproad.policy.placement;

/**
 * Replacement of the expert in a slot, whose weights have to be loaded.
 *
 * @param layer index of the layer
 * @param slot index of the slot within the layer, {@code rank * slotsPerRank + position}
 * @param expert index of the expert that the slot holds after the move
 */
public record SlotMove(int layer, int slot, int expert) {}
