package org.kingcuproad.policy.routing;

/** Reason why no upstream was chosen. */
public enum NoChoiceReason {

    /** The environment document has no upstream of this group. */
    NO_UPSTREAM_IN_GROUP,

    /** Every upstream of the group is leaving or ejected. */
    NONE_AVAILABLE,

    /** Every available upstream is excluded by the request. */
    ALL_EXCLUDED,

    /** The inspected candidates have reached their concurrency limits; the request can wait for a slot. */
    SATURATED
}
