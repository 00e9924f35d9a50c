package org.kingcuproad.agent;

/**
 * Where the claims of keyed orders are kept.
 *
 * @param platformUrl base URL of the platform's object API, or an empty string for an agent that takes no keyed orders
 * @param environment name of the environment
 * @param retentionSeconds time for which a claim is kept, as the environment document says
 */
public record ClaimOptions(String platformUrl, String environment, int retentionSeconds) {

    /**
     * Creates options without a store: keyed orders are refused.
     *
     * @return the options
     */
    public static ClaimOptions none() {
        return new ClaimOptions("", "", 0);
    }

    boolean enabled() {
        return !platformUrl.isEmpty();
    }
}
