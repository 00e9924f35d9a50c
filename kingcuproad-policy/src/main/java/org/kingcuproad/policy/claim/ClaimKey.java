package org.kingcuproad.policy.claim;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;
import net.openhft.hashing.LongTupleHashFunction;

/**
 * 128-bit hash of a workspace and its idempotency key. With 64 bits, two of two million keys would collide about once
 * in ten million hours and a caller would receive the response of another caller; with 128 bits the probability is
 * negligible.
 *
 * @param high upper half
 * @param low lower half
 */
public record ClaimKey(long high, long low) {

    /** Number of claim shards of an environment. */
    public static final int SHARDS = 16;

    private static final LongTupleHashFunction HASH = LongTupleHashFunction.xx128();
    private static final LongHashFunction OWNER_HASH = LongHashFunction.xx3(4);

    /**
     * Hashes an idempotency key together with its workspace.
     *
     * @param workspace workspace of the caller
     * @param key idempotency key
     * @return the hash
     */
    public static ClaimKey of(String workspace, String key) {
        long[] hash = HASH.hashBytes(DispatchRequest.scopedKey(workspace, key).getBytes(StandardCharsets.UTF_8));
        return new ClaimKey(hash[0], hash[1]);
    }

    /**
     * Returns the claim shard of the key.
     *
     * @return a number below {@link #SHARDS}
     */
    public int shard() {
        return (int) Long.remainderUnsigned(high, SHARDS);
    }

    /**
     * Chooses the upstream whose agent owns a claim shard, by rendezvous hashing: when an upstream is added or removed,
     * only the shards that it gains or loses change their owner.
     *
     * @param environment name of the environment
     * @param shard number of the shard
     * @param upstreams names of the upstreams that serve the route in the document in force
     * @return the owner, or empty without upstreams
     */
    public static Optional<String> owner(String environment, int shard, List<String> upstreams) {
        String prefix = environment + '/' + shard + '/';
        return upstreams.stream()
                .max(Comparator.comparingLong((String upstream) -> OWNER_HASH.hashChars(prefix + upstream))
                        .thenComparing(Comparator.naturalOrder()));
    }
}
