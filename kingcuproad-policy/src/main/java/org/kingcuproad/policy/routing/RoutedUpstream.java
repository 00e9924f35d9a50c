package org.kingcuproad.policy.routing;

import org.kingcuproad.model.Upstream;

/**
 * What the router knows about an upstream from the environment document.
 *
 * @param name unique name of the upstream
 * @param dataCentre data centre of its VM
 * @param group model group or service that it serves
 * @param maxConcurrent requests that may run on it at the same time
 */
public record RoutedUpstream(String name, String dataCentre, String group, int maxConcurrent) {

    /** Checks the limit, which divides loads. */
    public RoutedUpstream {
        if (maxConcurrent < 1) {
            throw new IllegalArgumentException("maxConcurrent of " + name + " is " + maxConcurrent);
        }
    }

    /**
     * Takes the fields that routing needs from an upstream of the document.
     *
     * @param upstream an upstream of the document
     * @return the upstream as the router sees it
     */
    public static RoutedUpstream of(Upstream upstream) {
        return new RoutedUpstream(
                upstream.name(), upstream.dataCentre(), upstream.group(), Math.max(1, upstream.maxConcurrent()));
    }
}
