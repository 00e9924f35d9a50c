package org.kingcuproad.policy.routing;

/** How one attempt at an upstream ended. */
public enum Outcome {

    /** The upstream answered completely. */
    SUCCEEDED,

    /** The upstream refused, failed or broke off. */
    FAILED,

    /** The upstream accepted the attempt and then sent nothing within the idle limit. */
    STALLED,

    /** The caller or the entry gave the attempt up, which says nothing about the upstream. */
    CANCELLED
}
