package org.kingcuproad.policy.routing;

/** Why no upstream was chosen. */
public enum NoChoiceReason {

    /** The environment document has no upstream of this group. */
    NO_UPSTREAM_IN_GROUP,

    /** Every upstream of the group is leaving or ejected. */
    NONE_AVAILABLE,

    /** Every available upstream is excluded by the request. */
    ALL_EXCLUDED,

    /** The candidates run as many requests as they may; the request can wait for one to finish. */
    SATURATED
}
