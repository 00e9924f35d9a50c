package org.kingcuproad.policy.claim;

import org.kingcuproad.policy.stream.Bytes;

/** A call to the platform's object API. */
public sealed interface StoreCall {

    /**
     * Lists object keys.
     *
     * @param prefix common prefix of the keys
     */
    record ListKeys(String prefix) implements StoreCall {}

    /**
     * Reads an object.
     *
     * @param key key of the object
     */
    record Read(String key) implements StoreCall {}

    /**
     * Creates an object, provided that it does not exist.
     *
     * @param key key of the object
     * @param value its content
     */
    record Create(String key, Bytes value) implements StoreCall {}

    /**
     * Replaces an object, provided that its version has not changed.
     *
     * @param key key of the object
     * @param value its content
     * @param version expected version
     */
    record Update(String key, Bytes value, long version) implements StoreCall {}

    /**
     * Deletes an object, provided that its version has not changed.
     *
     * @param key key of the object
     * @param version expected version
     */
    record Delete(String key, long version) implements StoreCall {}
}
