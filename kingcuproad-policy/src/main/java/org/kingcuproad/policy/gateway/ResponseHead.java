package org.kingcuproad.policy.gateway;

import java.util.List;

/**
 * What decides whether a response answers a request. Each header has as many values as it occurs, in their order.
 *
 * @param status its status
 * @param requestIds ids of the request that it answers
 * @param seals proofs that the upstream itself made it
 * @param transferCodings values of Transfer-Encoding
 * @param lengths values of Content-Length
 * @param contentCodings values of Content-Encoding
 */
public record ResponseHead(
        int status,
        List<String> requestIds,
        List<String> seals,
        List<String> transferCodings,
        List<String> lengths,
        List<String> contentCodings) {

    private static final int OK = 200;
    private static final int MULTIPLE_CHOICES = 300;

    /**
     * Returns whether the status reports success.
     *
     * @return {@code true} for 200 to 299
     */
    public boolean success() {
        return status >= OK && status < MULTIPLE_CHOICES;
    }
}
