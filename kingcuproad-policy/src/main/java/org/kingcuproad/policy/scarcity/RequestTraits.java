package org.kingcuproad.policy.scarcity;

/**
 * What a request belongs to, for the minimum service rates.
 *
 * @param kind name of its route
 * @param workspace name of its workspace, empty if it has none
 * @param workTokens prompt tokens and expected output tokens, 0 if unknown
 * @param large whether it is among the tenth of its kind with the most work
 */
public record RequestTraits(String kind, String workspace, double workTokens, boolean large) {

    /** Traits of a request that has not been queued while priorities differ. */
    public static final RequestTraits NONE = new RequestTraits("", "", 0, false);
}
