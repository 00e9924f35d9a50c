package org.kingcuproad.platform;

import java.util.List;

/** What became of listing objects. */
public sealed interface ListResult {

    /**
     * The objects with the prefix.
     *
     * @param objects keys and versions, sorted by key; values are read one by one, so that a long list needs little
     *     memory
     * @param version version of the store; a watch from here misses no later change
     */
    record Listed(List<ObjectVersion> objects, long version) implements ListResult {

        /**
         * Copies the list, so that the value is immutable.
         *
         * @param objects keys and versions
         * @param version version of the store
         */
        public Listed {
            objects = List.copyOf(objects);
        }
    }

    /**
     * The store did not answer.
     *
     * @param detail what went wrong
     */
    record Unavailable(String detail) implements ListResult {}
}
