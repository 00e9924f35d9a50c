package org.kingcuproad.policy.placement;

import java.util.List;

/**
 * One map change that fits into the rate of the weight store.
 *
 * @param next the map after the change
 * @param moves the slots that change
 * @param bytes size of the weights to load
 * @param startedAtMs time at which loading may start, in milliseconds
 * @param earliestSwitchMs time before which the weight store's rate does not let all weights arrive, in milliseconds
 */
public record MapPiece(ExpertMap next, List<SlotMove> moves, long bytes, long startedAtMs, long earliestSwitchMs) {

    /** Copies the list, so that the value is immutable. */
    public MapPiece {
        moves = List.copyOf(moves);
    }
}
