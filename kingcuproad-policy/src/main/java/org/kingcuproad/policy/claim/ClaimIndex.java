package org.kingcuproad.policy.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * In-memory index of the claims of one shard, without the bodies of outcomes. Uses open addressing over parallel arrays
 * with 36 bytes per slot; a map of objects takes about 100 bytes per claim.
 */
final class ClaimIndex {

    static final int ABSENT = -1;
    private static final int INITIAL_SLOTS = 256;

    /**
     * The agent incarnation that made a claim.
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

    /** Adds the claims and outcomes of a batch. The first claim of a key in log order is the valid one. */
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

    /**
     * Removes the claims of a segment in place, because a second set of arrays would not fit into the heap of an agent.
     */
    void removeSegment(long segment) {
        for (int slot = 0; slot < high.length; slot++) {
            while (claimSegment[slot] != 0 && claimSegment[slot] == segment) {
                remove(slot);
            }
        }
    }

    void clear() {
        allocate(INITIAL_SLOTS);
    }

    /** Empties a slot and moves back later claims whose probe sequence includes the gap (backward-shift deletion). */
    private void remove(int slot) {
        int mask = high.length - 1;
        int gap = slot;
        claimSegment[gap] = 0;
        size--;
        for (int next = (gap + 1) & mask; claimSegment[next] != 0; next = (next + 1) & mask) {
            int preferredSlot = (int) low[next] & mask;
            if (((next - preferredSlot) & mask) >= ((next - gap) & mask)) {
                set(gap, high[next], low[next], digest[next], claimant[next], claimSegment[next], outcomeSegment[next]);
                size--;
                claimSegment[next] = 0;
                gap = next;
            }
        }
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
            grow();
            slot = slotOf(key);
        }
        set(slot, key.high(), key.low(), requestDigest, claimantNumber, segment, 0);
    }

    private void set(
            int slot, long keyHigh, long keyLow, long requestDigest, int claimantNumber, int claimedIn, int outcomeIn) {
        high[slot] = keyHigh;
        low[slot] = keyLow;
        digest[slot] = requestDigest;
        claimant[slot] = claimantNumber;
        claimSegment[slot] = claimedIn;
        outcomeSegment[slot] = outcomeIn;
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

    private void grow() {
        long[] oldHigh = high;
        long[] oldLow = low;
        long[] oldDigest = digest;
        int[] oldClaimant = claimant;
        int[] oldClaim = claimSegment;
        int[] oldOutcome = outcomeSegment;
        allocate(oldHigh.length * 2);
        for (int i = 0; i < oldHigh.length; i++) {
            if (oldClaim[i] != 0) {
                int slot = slotOf(new ClaimKey(oldHigh[i], oldLow[i]));
                set(slot, oldHigh[i], oldLow[i], oldDigest[i], oldClaimant[i], oldClaim[i], oldOutcome[i]);
            }
        }
    }

    private void allocate(int slots) {
        high = new long[slots];
        low = new long[slots];
        digest = new long[slots];
        claimant = new int[slots];
        claimSegment = new int[slots];
        outcomeSegment = new int[slots];
        size = 0;
    }
}
