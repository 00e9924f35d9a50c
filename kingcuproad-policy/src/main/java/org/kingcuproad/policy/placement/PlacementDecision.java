package org.kingcuproad.policy.placement;

/** What a controller wants done with the map of its group. */
public sealed interface PlacementDecision {

    /**
     * Nothing changes.
     *
     * @param reason why, for logs and for {@code explain}
     */
    record Keep(KeepReason reason) implements PlacementDecision {}

    /**
     * Weights are to be loaded, then all ranks switch to the next map.
     *
     * @param piece the change
     */
    record Load(MapPiece piece) implements PlacementDecision {}
}
