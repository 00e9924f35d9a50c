package org.kingcuproad.policy.placement;

import java.util.List;

/**
 * Slot moves that take effect in one switch of the map, with the time that loading their weights takes at the weight
 * store's rate.
 *
 * @param next the map after the change
 * @param moves the moves, one for each slot whose expert changes
 * @param bytes size of the weights to load
 * @param loadStartMs time at which loading may start, in milliseconds
 * @param earliestSwitchMs earliest time at which all weights can have been loaded at the weight store's rate, in
 *     milliseconds
 */
public record MoveBatch(ExpertMap next, List<SlotMove> moves, long bytes, long loadStartMs, long earliestSwitchMs) {

    /** Copies the list of moves, so that the batch is immutable. */
    public MoveBatch {
        moves = List.copyOf(moves);
    }
}
