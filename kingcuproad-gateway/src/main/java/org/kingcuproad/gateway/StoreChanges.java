package org.kingcuproad.gateway;

import java.util.List;

/**
 * Result of one watch of the store.
 *
 * @param changes the changes, oldest first
 * @param revision revision at which the next watch starts
 * @param <T> type that an object is decoded to
 */
public record StoreChanges<T>(List<StoreChange<T>> changes, long revision) {}
