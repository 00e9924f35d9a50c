package org.kingcuproad.policy.placement;

/** The best change of a layer found so far. */
final class Candidate {

    /** Improvements of the potential below this are rounding. */
    private static final double LEAST_GAIN = 1e-9;

    private double gain = LEAST_GAIN;
    private int slot = -1;
    private int other;
    private boolean swap;

    void offerSwap(double offered, int slotA, int slotB) {
        if (offered > gain) {
            gain = offered;
            slot = slotA;
            other = slotB;
            swap = true;
        }
    }

    void offerReplace(double offered, int replacedSlot, int expert) {
        if (offered > gain) {
            gain = offered;
            slot = replacedSlot;
            other = expert;
            swap = false;
        }
    }

    boolean apply(LayerSearch search) {
        if (slot < 0) {
            return false;
        }
        if (swap) {
            search.swap(slot, other);
        } else {
            search.replace(slot, other);
        }
        return true;
    }
}
