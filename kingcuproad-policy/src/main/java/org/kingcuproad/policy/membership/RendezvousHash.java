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
 * <p>Every process that knows the same candidates computes the same ranking, in whatever order it lists them. Adding or
 * removing a candidate does not change the relative order of the others.
 */
public final class RendezvousHash {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private static final Comparator<Weighted> BEST_FIRST =
            Comparator.comparingLong(Weighted::weight).reversed().thenComparing(Weighted::candidate);

    private RendezvousHash() {}

    /**
     * Ranks all candidates.
     *
     * @param key what the candidates compete for, such as the name of a claim shard
     * @param candidates names of the candidates; duplicates count once
     * @return the candidates, best first
     */
    public static List<String> rank(String key, Collection<String> candidates) {
        return weigh(key, candidates).stream()
                .sorted(BEST_FIRST)
                .map(Weighted::candidate)
                .toList();
    }

    /**
     * Picks the best candidates in time linear in their number.
     *
     * @param key what the candidates compete for
     * @param candidates names of the candidates; duplicates count once
     * @param count number of candidates to pick
     * @return at most {@code count} candidates, best first
     */
    public static List<String> pick(String key, Collection<String> candidates, int count) {
        if (count <= 0) {
            return List.of();
        }
        PriorityQueue<Weighted> best = new PriorityQueue<>(BEST_FIRST.reversed());
        for (Weighted weighted : weigh(key, candidates)) {
            best.add(weighted);
            if (best.size() > count) {
                best.remove();
            }
        }
        return best.stream().sorted(BEST_FIRST).map(Weighted::candidate).toList();
    }

    /**
     * Picks the owner of a key.
     *
     * @param key what the candidates compete for
     * @param candidates names of the candidates
     * @return the best candidate, or empty if there are none
     */
    public static Optional<String> owner(String key, Collection<String> candidates) {
        return pick(key, candidates, 1).stream().findFirst();
    }

    private static List<Weighted> weigh(String key, Collection<String> candidates) {
        long keyHash = hash(key);
        List<Weighted> weighted = new ArrayList<>(candidates.size());
        candidates.stream()
                .distinct()
                .forEach(candidate -> weighted.add(new Weighted(candidate, mix(keyHash ^ mix(hash(candidate))))));
        return weighted;
    }

    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
        }
        return hash;
    }

    /** Spreads the bits, because FNV alone leaves names that differ in one digit with similar high bits. */
    private static long mix(long value) {
        long mixed = value;
        mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }

    private record Weighted(String candidate, long weight) {}
}
