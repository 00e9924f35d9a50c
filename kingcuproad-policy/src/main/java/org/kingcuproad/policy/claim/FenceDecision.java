package org.kingcuproad.policy.claim;

/** Answer to the question whether an attempt may still run. */
public enum FenceDecision {

    /** It did not run and a late dispatch of it is refused. */
    FENCED_NOT_RUN,

    /** It runs now; its response can be read with a resume. */
    RUNNING,

    /** It ran. */
    RAN,

    /** It was dispatched to another incarnation, so this one does not know. */
    UNKNOWN_INCARNATION
}
