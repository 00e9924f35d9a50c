package org.kingcuproad.entry.request;

import java.util.Set;

/**
 * Chooses the upstream of each attempt, based on the results of earlier attempts. Confined to the event loop of the
 * entry.
 */
public interface UpstreamSelector {

    /**
     * Chooses an upstream, without counting the choice as load.
     *
     * @param target model or service that the request is for
     * @param workspace workspace of the caller
     * @param idempotencyKey idempotency key, or an empty string
     * @param excluded upstreams that already failed or refused the request
     * @param nowNs current time, in nanoseconds
     * @return the upstream, or the reason why there is none
     */
    Selection select(Target target, String workspace, String idempotencyKey, Set<String> excluded, long nowNs);

    /**
     * Records that an attempt was sent.
     *
     * @param upstream name of the upstream
     * @param nowNs current time, in nanoseconds
     */
    void onDispatched(String upstream, long nowNs);

    /**
     * Records the end of an attempt.
     *
     * @param upstream name of the upstream
     * @param outcome result of the attempt
     * @param startedNs time at which it was sent, in nanoseconds
     * @param nowNs current time, in nanoseconds
     */
    void onEnded(String upstream, AttemptOutcome outcome, long startedNs, long nowNs);

    /**
     * Records the first byte of a response.
     *
     * @param upstream name of the upstream
     * @param latencyMs time since the attempt was sent, in milliseconds
     * @param nowNs current time, in nanoseconds
     */
    void onFirstByte(String upstream, double latencyMs, long nowNs);

    /**
     * Returns the utilisation of the upstreams of a model or service.
     *
     * @param target name of the model or service
     * @return estimated load divided by the concurrency limits
     */
    double utilisation(String target);
}
