package org.kingcuproad.policy.routing;

/** Why an upstream was chosen; {@code explain} shows it. */
public enum ChoiceReason {

    /** The upstream served the longest known prefix of the prompt and is within the load bound. */
    PREFIX_AFFINITY,

    /** No upstream is known to have the prefix; this one is its home on the hash ring and is within the load bound. */
    PREFIX_HOME,

    /** The upstream is the better of two candidates of the entry's own data centre. */
    BETTER_OF_TWO,

    /** The entry's own data centre has no upstream or is loaded; the better of two candidates of all data centres. */
    OTHER_DATA_CENTRE,

    /** Every upstream of the group is ejected; this one is tried in case it recovered. */
    PROBE
}
