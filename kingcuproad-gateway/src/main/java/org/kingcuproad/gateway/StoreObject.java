package org.kingcuproad.gateway;

import java.util.Optional;

/**
 * An object of the store.
 *
 * @param name name of the object
 * @param value what it describes; empty if it can't be read or names nothing to use
 * @param defect why there is no value; empty if there is one
 * @param <T> what an object describes
 */
public record StoreObject<T>(String name, Optional<T> value, String defect) {}
