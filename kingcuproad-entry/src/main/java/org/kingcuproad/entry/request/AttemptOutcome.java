package org.kingcuproad.entry.request;

/** How an attempt ended, as far as the choice of upstreams is concerned. */
public enum AttemptOutcome {

    /** The whole response arrived. */
    COMPLETE,

    /** The agent refused the attempt. */
    REFUSED,

    /** The upstream or its agent failed or was lost. */
    FAILED,

    /** The caller went away or the deadline passed. */
    CANCELLED
}
