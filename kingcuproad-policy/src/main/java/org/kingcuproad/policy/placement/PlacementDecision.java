package org.kingcuproad.policy.placement;

/** Decision of a {@link PlacementController} about the map of its group. */
public sealed interface PlacementDecision {

    /**
     * The map in force stays as it is.
     *
     * @param reason why the map is kept, for logs and for {@code explain}
     */
    record Keep(KeepReason reason) implements PlacementDecision {}

    /**
     * The weights of a batch must be loaded, after which all ranks switch to the next map.
     *
     * @param batch the moves to carry out
     */
    record Load(MoveBatch batch) implements PlacementDecision {}
}
