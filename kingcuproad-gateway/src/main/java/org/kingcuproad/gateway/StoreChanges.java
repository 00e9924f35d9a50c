package org.kingcuproad.gateway;

import java.util.List;

/**
 * Changes of objects.
 *
 * @param changes the changes, oldest first
 * @param revision revision from which to go on
 * @param <T> what an object describes
 */
public record StoreChanges<T>(List<StoreChange<T>> changes, long revision) {}
