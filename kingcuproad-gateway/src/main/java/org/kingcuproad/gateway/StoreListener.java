package org.kingcuproad.gateway;

import java.util.List;

/**
 * Receives the objects and changes that a {@link StoreWatcher} reads.
 *
 * @param <T> type that an object is decoded to
 */
public interface StoreListener<T> {

    /**
     * Called with a complete listing of the objects.
     *
     * @param objects all objects of the kind
     * @param requestedSteadyMs time on the steady clock at which the listing was requested, in milliseconds
     * @param requestedWallMs time on the wall clock at which the listing was requested, in milliseconds
     */
    void onListing(List<StoreObject<T>> objects, long requestedSteadyMs, long requestedWallMs);

    /**
     * Called with the changes since the last call, possibly none.
     *
     * @param changes the changes, oldest first
     * @param requestedSteadyMs time on the steady clock at which the changes were requested, in milliseconds
     * @param requestedWallMs time on the wall clock at which the changes were requested, in milliseconds
     */
    void onChanges(List<StoreChange<T>> changes, long requestedSteadyMs, long requestedWallMs);
}
