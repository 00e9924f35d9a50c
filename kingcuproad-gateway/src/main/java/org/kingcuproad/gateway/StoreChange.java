package org.kingcuproad.gateway;

/**
 * A change of a stored object.
 *
 * @param object the object
 * @param removed whether the object was deleted
 * @param <T> type that an object is decoded to
 */
public record StoreChange<T>(StoreObject<T> object, boolean removed) {}
