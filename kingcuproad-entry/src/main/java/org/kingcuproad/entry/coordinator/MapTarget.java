package org.kingcuproad.entry.coordinator;

import java.util.List;

/**
 * A map that a group switches to.
 *
 * @param expertOfSlot expert of each slot, in the order of the layers
 * @param slotsPerLayer number of slots per layer across all ranks
 * @param switchStep first step that uses the map; must be far enough ahead for all ranks to load the weights
 */
public record MapTarget(List<Integer> expertOfSlot, int slotsPerLayer, long switchStep) {

    /**
     * Copies the list defensively to keep this record immutable.
     *
     * @param expertOfSlot expert of each slot, in the order of the layers
     * @param slotsPerLayer number of slots per layer across all ranks
     * @param switchStep first step that uses the map; must be far enough ahead for all ranks to load the weights
     */
    public MapTarget {
        expertOfSlot = List.copyOf(expertOfSlot);
    }
}
