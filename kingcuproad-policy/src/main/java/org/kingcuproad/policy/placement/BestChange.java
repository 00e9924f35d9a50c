package org.kingcuproad.policy.placement;

/** Keeps the change of a layer with the highest gain among those offered. */
final class BestChange {

    /** Reductions of the potential below this are rounding errors. */
    private static final double MIN_GAIN = 1e-9;

    private double gain = MIN_GAIN;
    private int slot = -1;
    private int slotOrExpert;
    private boolean swap;

    void offerSwap(double candidateGain, int slotA, int slotB) {
        if (candidateGain > gain) {
            gain = candidateGain;
            slot = slotA;
            slotOrExpert = slotB;
            swap = true;
        }
    }

    void offerReplace(double candidateGain, int replacedSlot, int expert) {
        if (candidateGain > gain) {
            gain = candidateGain;
            slot = replacedSlot;
            slotOrExpert = expert;
            swap = false;
        }
    }

    boolean apply(LayerSearch search) {
        if (slot < 0) {
            return false;
        }
        if (swap) {
            search.swap(slot, slotOrExpert);
        } else {
            search.replace(slot, slotOrExpert);
        }
        return true;
    }
}
