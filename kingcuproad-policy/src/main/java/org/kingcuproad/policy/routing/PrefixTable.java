package org.kingcuproad.policy.routing;

import java.util.Arrays;

/**
 * Fixed-size map from prefix hashes to the slots of the upstreams that have the prefix cached.
 *
 * <p>The table is set-associative with LRU replacement: a hash selects a set of four ways, ordered by last use, and the
 * last way is replaced. A hash may occupy several ways with different slots, because a popular prefix is cached by
 * several upstreams. Memory is fixed at 12 bytes per entry, and each operation accesses a single set.
 */
final class PrefixTable {

    /** Ways per set, which is also the maximum number of upstreams recorded for one prefix. */
    static final int WAYS = 4;

    private static final int EMPTY = -1;

    private final long[] hashes;
    private final int[] slots;
    private final int setMask;

    /**
     * Creates an empty table.
     *
     * @param entries capacity in entries, a power of two of at least {@link #WAYS}
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
     * Records that an upstream has a prefix cached, as the most recently used way of its set.
     *
     * @param hash hash of the prefix
     * @param slot slot of the upstream
     */
    void put(long hash, int slot) {
        int setStart = setStart(hash);
        int way = findWay(setStart, hash, slot);
        int last = way < 0 ? WAYS - 1 : way;
        for (int position = last; position > 0; position--) {
            hashes[setStart + position] = hashes[setStart + position - 1];
            slots[setStart + position] = slots[setStart + position - 1];
        }
        hashes[setStart] = hash;
        slots[setStart] = slot;
    }

    /**
     * Removes the record that an upstream has a prefix cached.
     *
     * @param hash hash of the prefix
     * @param slot slot of the upstream
     */
    void remove(long hash, int slot) {
        int setStart = setStart(hash);
        int way = findWay(setStart, hash, slot);
        if (way < 0) {
            return;
        }
        for (int position = way; position < WAYS - 1; position++) {
            hashes[setStart + position] = hashes[setStart + position + 1];
            slots[setStart + position] = slots[setStart + position + 1];
        }
        slots[setStart + WAYS - 1] = EMPTY;
    }

    /**
     * Returns the upstream slot stored in one way of the set that the hash selects.
     *
     * @param hash hash of a prefix
     * @param way index of the way, from 0 to {@link #WAYS} - 1
     * @return the slot of an upstream that has the prefix, or -1 if this way holds another prefix or none
     */
    int slot(long hash, int way) {
        int index = setStart(hash) + way;
        return hashes[index] == hash ? slots[index] : EMPTY;
    }

    private int findWay(int setStart, long hash, int slot) {
        for (int way = 0; way < WAYS; way++) {
            if (slots[setStart + way] == slot && hashes[setStart + way] == hash) {
                return way;
            }
        }
        return EMPTY;
    }

    private int setStart(long hash) {
        return ((int) (hash ^ (hash >>> 32)) & setMask) * WAYS;
    }
}
