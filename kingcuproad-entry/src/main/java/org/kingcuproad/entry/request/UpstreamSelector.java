package org.kingcuproad.entry.request;

import java.util.Set;

/** Chooses the upstream of each attempt and learns from how attempts end. Used on the event loop only. */
public interface UpstreamSelector {

    /**
     * Chooses an upstream, without counting the choice as load.
     *
     * @param target what the request asks for
     * @param workspace workspace of the caller
     * @param key idempotency key, or an empty string
     * @param excluded upstreams that already failed or refused the request
     * @param nowNs the present time, in nanoseconds
     * @return the upstream, or why there is none
     */
    Selection select(Target target, String workspace, String key, Set<String> excluded, long nowNs);

    /**
     * Notes that an attempt was sent.
     *
     * @param upstream name of the upstream
     * @param nowNs the present time, in nanoseconds
     */
    void dispatched(String upstream, long nowNs);

    /**
     * Notes that an attempt ended.
     *
     * @param upstream name of the upstream
     * @param outcome how it ended
     * @param startedNs when it was sent, in nanoseconds
     * @param nowNs the present time, in nanoseconds
     */
    void ended(String upstream, AttemptOutcome outcome, long startedNs, long nowNs);

    /**
     * Notes the first byte of a response.
     *
     * @param upstream name of the upstream
     * @param latencyMs time since the attempt was sent, in milliseconds
     * @param nowNs the present time, in nanoseconds
     */
    void firstByte(String upstream, double latencyMs, long nowNs);

    /**
     * Tells how full the upstreams of a model or service are.
     *
     * @param target name of the model or service
     * @return estimated load as a ratio of the limits
     */
    double utilisation(String target);
}
