package org.kingcuproad.policy.mapswitch;

/** Phase of a rank in the switch protocol. */
enum RankPhase {
    /** The agent has started and is stopping its engine. */
    FREEZING,
    /** The rank queries the other ranks for their settled switches. */
    JOINING,
    /** No switch is pending. */
    IDLE,
    /** The engine loads the weights or sets the hold. */
    PREPARING,
    /** Promised; the coordinator may still commit. */
    PROMISED,
    /** Promised; the outcome is now determined among the ranks, and messages of the coordinator are ignored. */
    SETTLING
}
