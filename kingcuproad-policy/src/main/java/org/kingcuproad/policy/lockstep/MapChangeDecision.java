package org.kingcuproad.policy.lockstep;

/** Decision whether a group changes its expert map. */
public sealed interface MapChangeDecision {

    /**
     * Returns what the best change found is expected to bring and to cost.
     *
     * @return the estimate
     */
    MapChangeEstimate estimate();

    /**
     * The map is changed.
     *
     * @param placement the new map
     * @param estimate what the change is expected to bring and to cost
     */
    record Change(ExpertPlacement placement, MapChangeEstimate estimate) implements MapChangeDecision {}

    /**
     * The map in use stays.
     *
     * @param reason why no change is worthwhile
     * @param estimate what the best change found would have brought and cost
     */
    record Keep(Reason reason, MapChangeEstimate estimate) implements MapChangeDecision {}

    /** Why a map is kept. The constant names appear in log fields. */
    enum Reason {
        /** The ranks are as evenly loaded as the accuracy of the estimated demand allows. */
        BALANCED,
        /** No change saves more time than it costs before the pattern is expected to end. */
        NOT_WORTH_ITS_COST
    }
}
