package org.kingcuproad.policy.routing;

import java.util.Arrays;

/**
 * Bounded map from prefix hashes to upstream slots.
 *
 * <p>The table is set-associative: a hash selects a set of four ways, ordered by last use, and the last way is
 * replaced. One hash may hold several ways with different slots, because a popular prefix is cached by several
 * upstreams. Memory is fixed at 12 bytes an entry, and each operation touches one set.
 */
final class PrefixTable {

    /** Ways of one set, and so the most upstreams known for one prefix. */
    static final int WAYS = 4;

    private static final int EMPTY = -1;

    private final long[] hashes;
    private final int[] slots;
    private final int setMask;

    /**
     * Creates an empty table.
     *
     * @param entries capacity, a power of two and at least {@link #WAYS}
     */
    PrefixTable(int entries) {
        if (entries < WAYS || Integer.bitCount(entries) != 1) {
            throw new IllegalArgumentException("entries must be a power of two of at least " + WAYS + ": " + entries);
        }
        hashes = new long[entries];
        slots = new int[entries];
        setMask = entries / WAYS - 1;
        Arrays.fill(slots, EMPTY);
    }

    /**
     * Notes that an upstream has a prefix.
     *
     * @param hash hash of the prefix
     * @param slot slot of the upstream
     */
    void put(long hash, int slot) {
        int base = base(hash);
        int way = find(base, hash, slot);
        int last = way < 0 ? WAYS - 1 : way;
        for (int moved = last; moved > 0; moved--) {
            hashes[base + moved] = hashes[base + moved - 1];
            slots[base + moved] = slots[base + moved - 1];
        }
        hashes[base] = hash;
        slots[base] = slot;
    }

    /**
     * Notes that an upstream no longer has a prefix.
     *
     * @param hash hash of the prefix
     * @param slot slot of the upstream
     */
    void remove(long hash, int slot) {
        int base = base(hash);
        int way = find(base, hash, slot);
        if (way < 0) {
            return;
        }
        for (int moved = way; moved < WAYS - 1; moved++) {
            hashes[base + moved] = hashes[base + moved + 1];
            slots[base + moved] = slots[base + moved + 1];
        }
        slots[base + WAYS - 1] = EMPTY;
    }

    /**
     * Returns the slot in one way of the hash's set.
     *
     * @param hash hash of a prefix
     * @param way number of the way, from 0 to {@link #WAYS} - 1
     * @return the slot of an upstream that has the prefix, or -1 if this way holds another prefix or none
     */
    int slot(long hash, int way) {
        int entry = base(hash) + way;
        return hashes[entry] == hash ? slots[entry] : EMPTY;
    }

    private int find(int base, long hash, int slot) {
        for (int way = 0; way < WAYS; way++) {
            if (slots[base + way] == slot && hashes[base + way] == hash) {
                return way;
            }
        }
        return EMPTY;
    }

    private int base(long hash) {
        return ((int) (hash ^ (hash >>> 32)) & setMask) * WAYS;
    }
}
