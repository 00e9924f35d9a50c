package org.kingcuproad.policy.gateway;

/** Kind of a route: whether its requests may run more than once, and whether the response is an event stream. */
public enum RouteKind {

    /** A request may run more than once. */
    IDEMPOTENT,

    /** A request may run at most once. */
    NON_IDEMPOTENT,

    /** The response is a stream of events with increasing ids. Whether it may be resumed is set per route. */
    STREAMING
}
