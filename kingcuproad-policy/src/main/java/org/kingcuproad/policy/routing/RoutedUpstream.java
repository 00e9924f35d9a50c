package org.kingcuproad.policy.routing;

import org.kingcuproad.model.Upstream;

/**
 * Configuration of an upstream that the router takes from the environment document.
 *
 * @param name unique name of the upstream
 * @param dataCentre data centre of the VM that hosts it
 * @param group model group or service that it serves
 * @param maxConcurrent concurrency limit of the upstream
 */
public record RoutedUpstream(String name, String dataCentre, String group, int maxConcurrent) {

    /** Validates the limit, which is used as a divisor. */
    public RoutedUpstream {
        if (maxConcurrent < 1) {
            throw new IllegalArgumentException("maxConcurrent of " + name + " must be at least 1: " + maxConcurrent);
        }
    }

    /**
     * Creates the routing view of an upstream of the environment document.
     *
     * @param upstream the upstream in the environment document
     * @return its fields that routing uses, with a limit of at least 1
     */
    public static RoutedUpstream of(Upstream upstream) {
        return new RoutedUpstream(
                upstream.name(), upstream.dataCentre(), upstream.group(), Math.max(1, upstream.maxConcurrent()));
    }
}
