package org.kingcuproad.agent;

/**
 * Store for the claims of requests with an idempotency key.
 *
 * @param platformUrl base URL of the platform's object API, or an empty string for an agent that refuses requests that
 *     need a claim
 * @param environment name of the environment
 * @param retentionSeconds time for which a claim is kept, in seconds, from the environment document
 */
public record ClaimOptions(String platformUrl, String environment, int retentionSeconds) {

    /**
     * Creates options without a store; requests that need a claim are refused.
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
