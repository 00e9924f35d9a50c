package org.kingcuproad.policy.routing;

import java.util.Collection;

/**
 * Chooses an upstream for each request of one entry.
 *
 * <p>A router belongs to one event loop and is not safe for use by several threads. It reads no clock: every call takes
 * the time of the entry's monotonic clock. The entry calls {@link #choose} and, if it sends the request,
 * {@link #onDispatched}; then {@link #onFirstToken} when the first bytes of the response arrive, and exactly one
 * {@link #onFinished} for each {@link #onDispatched}. Calls that name an upstream that is not in the set are ignored.
 */
public interface UpstreamRouter {

    /**
     * Creates the router that entries use.
     *
     * @param settings constants of the policy
     * @param dataCentre data centre of the entry
     * @param seed seed of the entry's own random choices; entries with different seeds do not choose alike
     * @return a router without upstreams
     */
    static UpstreamRouter create(RouterSettings settings, String dataCentre, long seed) {
        return new AffinityRouter(settings, dataCentre, seed);
    }

    /**
     * Replaces the set of upstreams. State of upstreams that stay in the set is kept.
     *
     * @param upstreams all upstreams that the entry may use
     * @param nowMs current time, in milliseconds
     */
    void update(Collection<RoutedUpstream> upstreams, long nowMs);

    /**
     * Takes a report of an agent. A report of an earlier incarnation, or with a sequence that is not greater than the
     * last one, is ignored.
     *
     * @param upstream name of the upstream
     * @param report the report
     * @param nowMs current time, in milliseconds
     * @return whether the report was accepted
     */
    boolean onReport(String upstream, LoadReport report, long nowMs);

    /**
     * Chooses an upstream. The choice does not count as load until {@link #onDispatched}.
     *
     * @param request features of the request
     * @param nowMs current time, in milliseconds
     * @return the choice, or why there is none
     */
    RoutingDecision choose(RequestFeatures request, long nowMs);

    /**
     * Returns how full the available upstreams of a group are.
     *
     * @param group model group or service
     * @return estimated load as a ratio of the limits; 1 if no upstream is available
     */
    double utilisation(String group);

    /**
     * Notes that a request was sent to an upstream.
     *
     * @param upstream name of the upstream
     * @param prefix hash chain over the prompt
     * @param nowMs current time, in milliseconds
     */
    void onDispatched(String upstream, PromptPrefix prefix, long nowMs);

    /**
     * Notes the first token of a response.
     *
     * @param upstream name of the upstream
     * @param latencyMs time since the request was sent, in milliseconds
     * @param nowMs current time, in milliseconds
     */
    void onFirstToken(String upstream, double latencyMs, long nowMs);

    /**
     * Notes the end of an attempt. A failed or stalled one counts towards ejection.
     *
     * @param upstream name of the upstream
     * @param outcome how the attempt ended
     * @param latencyMs time since the request was sent, in milliseconds
     * @param nowMs current time, in milliseconds
     */
    void onFinished(String upstream, Outcome outcome, double latencyMs, long nowMs);

    /**
     * Notes a failure that belongs to no attempt, such as a link whose heartbeats stopped. The upstream is ejected at
     * once, because the entry cannot reach it.
     *
     * @param upstream name of the upstream
     * @param nowMs current time, in milliseconds
     */
    void onFailure(String upstream, long nowMs);
}
