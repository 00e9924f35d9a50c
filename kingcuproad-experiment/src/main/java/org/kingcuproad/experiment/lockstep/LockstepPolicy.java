package org.kingcuproad.experiment.lockstep;

/** How gateways treat requests. */
public enum LockstepPolicy {

    /** The decisions that the gateway runs with where all priorities are the same. */
    CURRENT,

    /** Own requests only are counted, nothing waits by aim and nothing is refused before its patience ends. */
    FIRST_COME,

    /** The decisions that the gateway runs with where priorities differ. */
    SCARCITY,

    /** In the order of arrival. */
    ARRIVAL,

    /** By priority, then as the current decisions do. */
    STRICT_PRIORITY,

    /** By priority, which rises while a request waits. */
    AGEING,

    /** By goal deadline only. */
    DEADLINES,

    /** By what a response is worth for each token of work. */
    VALUE_PER_WORK,

    /** By the work that was done for the workspace. */
    WORKSPACE_SHARES
}
