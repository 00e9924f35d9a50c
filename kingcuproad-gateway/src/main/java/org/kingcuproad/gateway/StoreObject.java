package org.kingcuproad.gateway;

import java.util.Optional;

/**
 * A stored object.
 *
 * @param name name of the object
 * @param value decoded value; empty if the object can't be decoded or does not apply to the reader
 * @param defect reason why there is no value; empty if there is one
 * @param <T> type that an object is decoded to
 */
public record StoreObject<T>(String name, Optional<T> value, String defect) {}
