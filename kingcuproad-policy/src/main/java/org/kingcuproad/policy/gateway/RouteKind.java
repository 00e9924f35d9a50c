package org.kingcuproad.policy.gateway;

/** What may be repeated on a route. */
public enum RouteKind {

    /** A request may run more than once. */
    IDEMPOTENT,

    /** A request may run at most once. */
    NON_IDEMPOTENT,

    /** The answer is a stream of events with increasing ids. */
    STREAMING
}
