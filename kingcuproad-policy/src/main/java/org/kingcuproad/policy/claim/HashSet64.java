package org.kingcuproad.policy.claim;

/**
 * A set of 64-bit hashes with open addressing in one array, for hundreds of thousands of entries at 11 to 22 bytes
 * each.
 */
final class HashSet64 {

    private static final int INITIAL_CAPACITY = 1_024;

    private long[] table = new long[INITIAL_CAPACITY];
    private int size;

    int size() {
        return size;
    }

    void add(long hash) {
        if ((size + 1) * 4L > table.length * 3L) {
            grow();
        }
        if (insert(table, nonZero(hash))) {
            size++;
        }
    }

    boolean contains(long hash) {
        return table[slotOf(table, nonZero(hash))] != 0;
    }

    private void grow() {
        long[] larger = new long[table.length * 2];
        for (long value : table) {
            if (value != 0) {
                insert(larger, value);
            }
        }
        table = larger;
    }

    private static boolean insert(long[] target, long value) {
        int slot = slotOf(target, value);
        boolean added = target[slot] == 0;
        target[slot] = value;
        return added;
    }

    private static int slotOf(long[] target, long value) {
        int mask = target.length - 1;
        int slot = (int) (value ^ (value >>> 32)) & mask;
        while (target[slot] != 0 && target[slot] != value) {
            slot = (slot + 1) & mask;
        }
        return slot;
    }

    /** Replaces the hash zero by one, because zero marks a free slot. */
    private static long nonZero(long hash) {
        return hash == 0 ? 1 : hash;
    }
}
