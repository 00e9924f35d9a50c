package org.kingcuproad.policy.placement;

/** Why a controller keeps the map in force. */
public enum KeepReason {

    /** The load has not been observed for long enough to plan. */
    NOT_ENOUGH_OBSERVATIONS,

    /** The minimum interval since the last plan has not passed. */
    PLANNED_RECENTLY,

    /** A batch of moves is being loaded. */
    BATCH_IN_PROGRESS,

    /** No change recovers its cost within the payback horizon. */
    NO_PAYBACK,

    /** The gains observed so far do not cover the cost of the plan's first layer. */
    GAINS_NOT_OBSERVED,

    /** Under the current forecast, no remaining part of the plan recovers its cost. */
    PLAN_ABANDONED
}
