package org.kingcuproad.policy.mapswitch;

/** What a rank is doing. */
enum RankPhase {
    /** The engine is being stopped after a start. */
    FREEZING,
    /** The others are asked what they settled. */
    JOINING,
    /** No switch is pending. */
    IDLE,
    /** The engine loads weights or sets the hold. */
    PREPARING,
    /** Promised; the coordinator may still commit. */
    PROMISED,
    /** Promised; only the ranks decide. */
    SETTLING
}
