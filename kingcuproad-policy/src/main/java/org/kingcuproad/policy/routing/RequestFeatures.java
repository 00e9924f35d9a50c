package org.kingcuproad.policy.routing;

import java.util.Set;

/**
 * Properties of a request that determine its routing.
 *
 * @param group model group or service that the request is for
 * @param prefix hash chain over the prompt, or {@link PromptPrefix#none()}
 * @param workspace workspace of the caller, which {@code explain} reports and which does not affect the choice
 * @param excludedUpstreams names of upstreams that must not be chosen, such as those that failed an earlier attempt
 */
public record RequestFeatures(String group, PromptPrefix prefix, String workspace, Set<String> excludedUpstreams) {

    /** Copies the set defensively to keep this record immutable. */
    public RequestFeatures {
        excludedUpstreams = Set.copyOf(excludedUpstreams);
    }

    /**
     * Creates the features of a first attempt, which excludes no upstream.
     *
     * @param group model group or service that the request is for
     * @param prefix hash chain over the prompt
     * @param workspace workspace of the caller
     * @return the features
     */
    public static RequestFeatures firstAttempt(String group, PromptPrefix prefix, String workspace) {
        return new RequestFeatures(group, prefix, workspace, Set.of());
    }
}
