package org.kingcuproad.policy.placement;

/** Why a controller leaves the map alone. */
public enum KeepReason {

    /** Too little load has been seen. */
    NOT_ENOUGH_EVIDENCE,

    /** The last plan is too recent. */
    PLANNED_RECENTLY,

    /** A piece is being loaded. */
    PIECE_IN_PROGRESS,

    /** No change pays back within the horizon. */
    NO_PAYBACK,

    /** Gains seen so far do not cover the cost of the plan. */
    GAINS_NOT_OBSERVED,

    /** The rest of the plan no longer pays back. */
    PLAN_ABANDONED
}
