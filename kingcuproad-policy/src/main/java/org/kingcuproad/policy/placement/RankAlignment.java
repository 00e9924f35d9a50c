package org.kingcuproad.policy.placement;

import java.util.Arrays;

/** Renumbers the ranks of a packed layer so that fewer slots change. Ranks of the same speed are interchangeable. */
final class RankAlignment {

    private final int slotsPerRank;
    private final int[] current;

    RankAlignment(int slotsPerRank, int[] current) {
        this.slotsPerRank = slotsPerRank;
        this.current = current;
    }

    /**
     * Aligns a packed layer with the layer in force.
     *
     * @param packed the expert of each slot
     * @param fixed ranks that keep their packed experts, because their speed differs from that of other ranks
     * @return the packed experts with ranks and slots reordered
     */
    int[] align(int[] packed, boolean[] fixed) {
        int ranks = fixed.length;
        int[] sourceOfRank = new int[ranks];
        Arrays.fill(sourceOfRank, -1);
        boolean[] taken = fixed.clone();
        for (int rank = 0; rank < ranks; rank++) {
            if (fixed[rank]) {
                sourceOfRank[rank] = rank;
            }
        }
        for (int minOverlap = slotsPerRank; minOverlap >= 0; minOverlap--) {
            for (int rank = 0; rank < ranks; rank++) {
                if (sourceOfRank[rank] < 0) {
                    sourceOfRank[rank] = takeSource(packed, taken, rank, minOverlap);
                }
            }
        }
        int[] aligned = new int[current.length];
        for (int rank = 0; rank < ranks; rank++) {
            placeOnRank(packed, sourceOfRank[rank], rank, aligned);
        }
        return aligned;
    }

    private int takeSource(int[] packed, boolean[] taken, int rank, int minOverlap) {
        for (int source = 0; source < taken.length; source++) {
            if (!taken[source] && overlap(packed, source, rank) >= minOverlap) {
                taken[source] = true;
                return source;
            }
        }
        return -1;
    }

    private int overlap(int[] packed, int source, int rank) {
        int overlap = 0;
        for (int i = 0; i < slotsPerRank; i++) {
            if (contains(current, rank, packed[source * slotsPerRank + i])) {
                overlap++;
            }
        }
        return overlap;
    }

    private boolean contains(int[] slots, int rank, int expert) {
        for (int i = 0; i < slotsPerRank; i++) {
            if (slots[rank * slotsPerRank + i] == expert) {
                return true;
            }
        }
        return false;
    }

    private void placeOnRank(int[] packed, int source, int rank, int[] aligned) {
        int first = rank * slotsPerRank;
        int[] pending = Arrays.copyOfRange(packed, source * slotsPerRank, (source + 1) * slotsPerRank);
        boolean[] filled = new boolean[slotsPerRank];
        for (int i = 0; i < slotsPerRank; i++) {
            int position = firstFreeSlotOf(first, filled, pending[i]);
            if (position >= 0) {
                filled[position] = true;
                aligned[first + position] = pending[i];
                pending[i] = -1;
            }
        }
        int free = 0;
        for (int expert : pending) {
            if (expert >= 0) {
                while (filled[free]) {
                    free++;
                }
                filled[free] = true;
                aligned[first + free] = expert;
            }
        }
    }

    private int firstFreeSlotOf(int first, boolean[] filled, int expert) {
        for (int i = 0; i < slotsPerRank; i++) {
            if (!filled[i] && current[first + i] == expert) {
                return i;
            }
        }
        return -1;
    }
}
