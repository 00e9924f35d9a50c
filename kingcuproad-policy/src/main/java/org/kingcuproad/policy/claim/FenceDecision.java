package org.kingcuproad.policy.claim;

/** Result of fencing an attempt. */
public enum FenceDecision {

    /** The attempt was not executed, and a late dispatch of it will be refused. */
    FENCED_NOT_RUN,

    /** The attempt is running; its response can be read with a resume. */
    RUNNING,

    /** The attempt was executed. */
    RAN,

    /** The attempt was dispatched to another incarnation, so this incarnation cannot tell. */
    UNKNOWN_INCARNATION
}
