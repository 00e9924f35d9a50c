package org.kingcuproad.gateway;

/**
 * A change of an object.
 *
 * @param object the object
 * @param removed whether it no longer exists
 * @param <T> what an object describes
 */
public record StoreChange<T>(StoreObject<T> object, boolean removed) {}
