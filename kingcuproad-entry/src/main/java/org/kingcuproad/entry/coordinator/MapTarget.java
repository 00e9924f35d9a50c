package org.kingcuproad.entry.coordinator;

import java.util.List;

/**
 * A map that a group is to use.
 *
 * @param expertOfSlot expert of each slot, layer after layer
 * @param slotsPerLayer slots of one layer, over all ranks
 * @param switchStep first step that uses the map; must lie far enough ahead for all ranks to load it
 */
public record MapTarget(List<Integer> expertOfSlot, int slotsPerLayer, long switchStep) {

    /**
     * Copies the list, so that the value is immutable.
     *
     * @param expertOfSlot expert of each slot, layer after layer
     * @param slotsPerLayer slots of one layer, over all ranks
     * @param switchStep first step that uses the map; must lie far enough ahead for all ranks to load it
     */
    public MapTarget {
        expertOfSlot = List.copyOf(expertOfSlot);
    }
}
