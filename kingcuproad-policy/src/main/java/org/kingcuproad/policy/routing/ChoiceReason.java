package org.kingcuproad.policy.routing;

/** Reason for choosing an upstream; shown by the {@code explain} command. */
public enum ChoiceReason {

    /** The upstream has served the longest known prefix of the prompt and is within the load bound. */
    PREFIX_AFFINITY,

    /**
     * No eligible upstream is known to have cached the prefix; the hash ring assigns it to this one, which is within
     * the load bound.
     */
    PREFIX_HOME,

    /** The upstream is the better of two candidates of the entry's own data centre. */
    BETTER_OF_TWO,

    /**
     * The entry's own data centre has no upstream or exceeds the load bound; the upstream is the better of candidates
     * from all data centres.
     */
    OTHER_DATA_CENTRE,

    /** Every upstream of the group is ejected; this one is probed in case it has recovered. */
    PROBE
}
