package org.kingcuproad.policy.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Ranks candidates for a key by rendezvous (highest random weight) hashing.
 *
 * <p>The ranking depends only on the key and the set of candidates, not on the order in which they are listed, so all
 * processes that know the same candidates agree on it. Adding or removing a candidate does not change the relative
 * order of the others.
 */
public final class RendezvousHash {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private static final Comparator<ScoredCandidate> BEST_FIRST =
            Comparator.comparingLong(ScoredCandidate::score).reversed().thenComparing(ScoredCandidate::candidate);

    private RendezvousHash() {}

    /**
     * Ranks all candidates for a key.
     *
     * @param key key to assign, such as the name of a claim shard
     * @param candidates names of the candidates; duplicates count once
     * @return the candidates, best first
     */
    public static List<String> rank(String key, Collection<String> candidates) {
        return score(key, candidates).stream()
                .sorted(BEST_FIRST)
                .map(ScoredCandidate::candidate)
                .toList();
    }

    /**
     * Picks the highest-ranked candidates for a key, in time linear in the number of candidates.
     *
     * @param key key to assign
     * @param candidates names of the candidates; duplicates count once
     * @param count maximum number of candidates to pick
     * @return at most {@code count} candidates, best first
     */
    public static List<String> pick(String key, Collection<String> candidates, int count) {
        if (count <= 0) {
            return List.of();
        }
        PriorityQueue<ScoredCandidate> best = new PriorityQueue<>(BEST_FIRST.reversed());
        for (ScoredCandidate scored : score(key, candidates)) {
            best.add(scored);
            if (best.size() > count) {
                best.remove();
            }
        }
        return best.stream().sorted(BEST_FIRST).map(ScoredCandidate::candidate).toList();
    }

    /**
     * Picks the highest-ranked candidate for a key.
     *
     * @param key key to assign
     * @param candidates names of the candidates
     * @return the best candidate, or empty if there are none
     */
    public static Optional<String> owner(String key, Collection<String> candidates) {
        return pick(key, candidates, 1).stream().findFirst();
    }

    private static List<ScoredCandidate> score(String key, Collection<String> candidates) {
        long keyHash = hash(key);
        List<ScoredCandidate> scored = new ArrayList<>(candidates.size());
        candidates.stream()
                .distinct()
                .forEach(candidate -> scored.add(new ScoredCandidate(candidate, mix(keyHash ^ mix(hash(candidate))))));
        return scored;
    }

    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    /** Finalises a hash. FNV alone gives similar high bits to names that differ in one digit. */
    private static long mix(long value) {
        long mixed = value;
        mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }

    private record ScoredCandidate(String candidate, long score) {}
}
