package org.kingcuproad.entry.request;

/** Result of an attempt, as reported to the {@link UpstreamSelector}. */
public enum AttemptOutcome {

    /** The whole response arrived. */
    COMPLETE,

    /** The agent refused the attempt. */
    REFUSED,

    /** The upstream or its agent failed, or its connection was lost. */
    FAILED,

    /** The caller disconnected or the deadline passed. */
    CANCELLED
}
