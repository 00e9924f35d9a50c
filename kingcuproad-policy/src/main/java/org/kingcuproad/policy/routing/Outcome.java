package org.kingcuproad.policy.routing;

/** Outcome of one attempt at an upstream. */
public enum Outcome {

    /** The upstream sent a complete response. */
    SUCCEEDED,

    /** The upstream refused the request, failed, or ended its response early. */
    FAILED,

    /** The upstream accepted the attempt and then sent nothing within the idle limit. */
    STALLED,

    /** The caller or the entry cancelled the attempt, which does not indicate a fault of the upstream. */
    CANCELLED
}
