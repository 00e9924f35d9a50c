package org.kingcuproad.gateway;

import java.util.List;

/**
 * Receives what a follower learns.
 *
 * @param <T> what an object describes
 */
public interface StoreListener<T> {

    /**
     * Receives all objects of the kind.
     *
     * @param objects all objects
     * @param askedSteadyMs steady time when the store was asked, in milliseconds
     * @param askedWallMs time of day when the store was asked, in milliseconds
     */
    void onListing(List<StoreObject<T>> objects, long askedSteadyMs, long askedWallMs);

    /**
     * Receives changes since the last call, possibly none.
     *
     * @param changes the changes, oldest first
     * @param askedSteadyMs steady time when the store was asked, in milliseconds
     * @param askedWallMs time of day when the store was asked, in milliseconds
     */
    void onChanges(List<StoreChange<T>> changes, long askedSteadyMs, long askedWallMs);
}
