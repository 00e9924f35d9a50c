package org.kingcuproad.policy.gateway;

/** Whether a request is sent again after an attempt without a usable response, or why it is not. */
public enum RetryDecision {

    /** It is sent again. */
    AGAIN,

    /** A part of another response has been passed on, or it may run once at most. */
    NOT_REPEATABLE,

    /** It was sent to as many upstreams as its route allows, and as often as one of them is asked again. */
    ATTEMPTS_SPENT,

    /** The client doesn't wait long enough for another response. */
    TOO_LATE,

    /** No upstream that it may be sent to accepts requests. */
    NO_UPSTREAM,

    /** The retry budget of its service is spent. */
    BUDGET_SPENT
}
