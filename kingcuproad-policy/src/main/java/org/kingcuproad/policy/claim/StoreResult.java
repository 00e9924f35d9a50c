package org.kingcuproad.policy.claim;

import java.util.List;
import org.kingcuproad.policy.stream.Bytes;

/** Result of a {@link StoreCall}. */
public sealed interface StoreResult {

    /**
     * The keys that a list found.
     *
     * @param keys object keys
     */
    record Listed(List<String> keys) implements StoreResult {

        /**
         * Copies the list, so that the value is immutable.
         *
         * @param keys object keys
         */
        public Listed {
            keys = List.copyOf(keys);
        }
    }

    /**
     * The object that a read found.
     *
     * @param value its content
     * @param version its version
     */
    record Found(Bytes value, long version) implements StoreResult {}

    /**
     * The write or delete took effect.
     *
     * @param version version of the object
     */
    record Written(long version) implements StoreResult {}

    /** The condition of a write did not hold; nothing was changed. */
    record Conflict() implements StoreResult {}

    /** The object does not exist. */
    record Missing() implements StoreResult {}

    /** No response, or an error. A write may or may not have taken effect, and may still take effect later. */
    record Uncertain() implements StoreResult {}
}
