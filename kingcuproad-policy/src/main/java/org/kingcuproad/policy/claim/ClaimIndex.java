package org.kingcuproad.policy.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;

/**
 * The claims of one shard in memory, without the bodies of outcomes. Open addressing over parallel arrays: 36 bytes a
 * slot, where a map of objects takes about 100 bytes a claim.
 */
final class ClaimIndex {

    static final int ABSENT = -1;
    private static final int INITIAL_SLOTS = 256;

    /**
     * An agent that claimed.
     *
     * @param upstream its upstream
     * @param incarnation its incarnation
     */
    record Claimant(String upstream, long incarnation) {}

    private final List<Claimant> claimants = new ArrayList<>();
    private final Map<Claimant, Integer> claimantNumbers = new HashMap<>();
    private long[] high = new long[INITIAL_SLOTS];
    private long[] low = new long[INITIAL_SLOTS];
    private long[] digest = new long[INITIAL_SLOTS];
    private int[] claimant = new int[INITIAL_SLOTS];
    /** Segment of the claim, from 1; zero marks a free slot. */
    private int[] claimSegment = new int[INITIAL_SLOTS];
    /** Segment of the outcome, or zero. */
    private int[] outcomeSegment = new int[INITIAL_SLOTS];

    private int size;

    int size() {
        return size;
    }

    /** Adds what a batch appended. The first claim of a key in the order of the log is the valid one. */
    void add(SegmentBatch batch, long segment) {
        int number = claimantNumber(new Claimant(batch.upstream(), batch.incarnation()));
        batch.claims().forEach(claim -> put(claim.key(), claim.requestDigest(), number, (int) segment));
        batch.outcomes().forEach(entry -> {
            int slot = find(entry.key());
            if (slot != ABSENT) {
                outcomeSegment[slot] = (int) segment;
            }
        });
    }

    int find(ClaimKey key) {
        int slot = slotOf(key);
        return claimSegment[slot] == 0 ? ABSENT : slot;
    }

    long digest(int slot) {
        return digest[slot];
    }

    Claimant claimant(int slot) {
        return claimants.get(claimant[slot]);
    }

    long claimSegment(int slot) {
        return claimSegment[slot];
    }

    /** Segment that holds the outcome, or zero. */
    long outcomeSegment(int slot) {
        return outcomeSegment[slot];
    }

    /** Drops the claims of a segment. */
    void drop(long segment) {
        rebuild(high.length, slot -> claimSegment[slot] != segment);
    }

    void clear() {
        rebuild(INITIAL_SLOTS, slot -> false);
    }

    private int claimantNumber(Claimant value) {
        return claimantNumbers.computeIfAbsent(value, added -> {
            claimants.add(added);
            return claimants.size() - 1;
        });
    }

    private void put(ClaimKey key, long requestDigest, int claimantNumber, int segment) {
        int slot = slotOf(key);
        if (claimSegment[slot] != 0) {
            return;
        }
        if ((size + 1) * 4L > high.length * 3L) {
            rebuild(high.length * 2, ignored -> true);
            slot = slotOf(key);
        }
        set(slot, key.high(), key.low(), requestDigest, claimantNumber, segment, 0);
    }

    private void set(int slot, long keyHigh, long keyLow, long value, int claimantNumber, int claimed, int outcome) {
        high[slot] = keyHigh;
        low[slot] = keyLow;
        digest[slot] = value;
        claimant[slot] = claimantNumber;
        claimSegment[slot] = claimed;
        outcomeSegment[slot] = outcome;
        size++;
    }

    private int slotOf(ClaimKey key) {
        int mask = high.length - 1;
        int slot = (int) key.low() & mask;
        while (claimSegment[slot] != 0 && (high[slot] != key.high() || low[slot] != key.low())) {
            slot = (slot + 1) & mask;
        }
        return slot;
    }

    private void rebuild(int slots, IntPredicate keep) {
        long[] oldHigh = high;
        long[] oldLow = low;
        long[] oldDigest = digest;
        int[] oldClaimant = claimant;
        int[] oldClaim = claimSegment;
        int[] oldOutcome = outcomeSegment;
        boolean[] kept = new boolean[oldHigh.length];
        for (int i = 0; i < kept.length; i++) {
            kept[i] = oldClaim[i] != 0 && keep.test(i);
        }
        high = new long[slots];
        low = new long[slots];
        digest = new long[slots];
        claimant = new int[slots];
        claimSegment = new int[slots];
        outcomeSegment = new int[slots];
        size = 0;
        for (int i = 0; i < kept.length; i++) {
            if (kept[i]) {
                int slot = slotOf(new ClaimKey(oldHigh[i], oldLow[i]));
                set(slot, oldHigh[i], oldLow[i], oldDigest[i], oldClaimant[i], oldClaim[i], oldOutcome[i]);
            }
        }
    }
}
