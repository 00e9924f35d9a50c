package org.kingcuproad.entry.request;

import java.util.Optional;
import java.util.Set;

/** Chooses the upstream of each attempt and learns from how attempts end. Used on the event loop only. */
public interface UpstreamSelector {

    /**
     * Chooses an upstream.
     *
     * @param target what the request asks for
     * @param idempotencyKey key of the caller, or an empty string
     * @param excluded upstreams that already failed or refused this request
     * @param nowNs the present time, in nanoseconds
     * @return the name of the upstream, or empty if none can take the request
     */
    Optional<String> select(Target target, String idempotencyKey, Set<String> excluded, long nowNs);

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
}
