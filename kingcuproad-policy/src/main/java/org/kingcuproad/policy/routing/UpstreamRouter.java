package org.kingcuproad.policy.routing;

import java.util.Collection;

/**
 * Chooses an upstream for each request of one entry.
 *
 * <p>A router is confined to one event loop and is not thread-safe. It reads no clock: callers pass the time of the
 * entry's monotonic clock. The entry calls {@link #choose} and, if it sends the request, {@link #onDispatched}; then
 * {@link #onFirstToken} when the first bytes of the response arrive, and {@link #onFinished} exactly once for each
 * {@link #onDispatched}. Calls for unknown upstreams are ignored.
 */
public interface UpstreamRouter {

    /**
     * Creates a router with prefix affinity, which entries use.
     *
     * @param settings tuning parameters of the policy
     * @param dataCentre data centre of the entry
     * @param seed seed of the random choices; entries use different seeds so that they do not all choose the same
     *     upstreams
     * @return a router without upstreams
     */
    static UpstreamRouter create(RouterSettings settings, String dataCentre, long seed) {
        return new AffinityRouter(settings, dataCentre, seed);
    }

    /**
     * Replaces the set of upstreams. The state of an upstream that stays in the set is kept, unless its group or data
     * centre changed.
     *
     * @param upstreams all upstreams that the entry may use
     * @param nowMs current time, in milliseconds
     */
    void update(Collection<RoutedUpstream> upstreams, long nowMs);

    /**
     * Processes a load report of an agent. A report of an earlier incarnation, or with a sequence number that is not
     * greater than that of the last accepted report, is ignored.
     *
     * @param upstream name of the upstream
     * @param report the report
     * @param nowMs current time, in milliseconds
     * @return whether the report was accepted
     */
    boolean onReport(String upstream, LoadReport report, long nowMs);

    /**
     * Chooses an upstream for a request. The request does not count as load until {@link #onDispatched}.
     *
     * @param request properties of the request
     * @param nowMs current time, in milliseconds
     * @return the chosen upstream, or the reason why there is none
     */
    RoutingDecision choose(RequestFeatures request, long nowMs);

    /**
     * Returns the utilisation of the available upstreams of a group.
     *
     * @param group model group or service
     * @return estimated load divided by the concurrency limits; 1 if no upstream is available
     */
    double utilisation(String group);

    /**
     * Records that a request was sent to an upstream.
     *
     * @param upstream name of the upstream
     * @param prefix hash chain over the prompt
     * @param nowMs current time, in milliseconds
     */
    void onDispatched(String upstream, PromptPrefix prefix, long nowMs);

    /**
     * Records the first token of a response.
     *
     * @param upstream name of the upstream
     * @param latencyMs time since the request was sent, in milliseconds
     * @param nowMs current time, in milliseconds
     */
    void onFirstToken(String upstream, double latencyMs, long nowMs);

    /**
     * Records the end of an attempt. A failed or stalled attempt counts towards ejection.
     *
     * @param upstream name of the upstream
     * @param outcome outcome of the attempt
     * @param latencyMs time since the request was sent, in milliseconds
     * @param nowMs current time, in milliseconds
     */
    void onFinished(String upstream, Outcome outcome, double latencyMs, long nowMs);

    /**
     * Records a failure outside any attempt, such as a link without heartbeats. The upstream is ejected immediately,
     * because the entry cannot reach it.
     *
     * @param upstream name of the upstream
     * @param nowMs current time, in milliseconds
     */
    void onFailure(String upstream, long nowMs);
}
