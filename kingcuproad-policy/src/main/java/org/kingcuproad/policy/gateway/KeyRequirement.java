package org.kingcuproad.policy.gateway;

/** Which requests on non-anonymous routes are checked for a known API key. */
public enum KeyRequirement {

    /** None; the configuration says nothing of workspaces. */
    NONE,

    /**
     * Those that carry a key. The configuration lists workspaces but has none, so that a key that a workspace had
     * before is unknown now, while requests without a key belong to nobody.
     */
    IF_PRESENT,

    /** All. */
    ALWAYS;

    /**
     * Returns whether a request is checked.
     *
     * @param keyPresent whether the request carries a key
     * @return {@code true} if it is served only with a known key
     */
    public boolean appliesTo(boolean keyPresent) {
        return this == ALWAYS || (this == IF_PRESENT && keyPresent);
    }
}
