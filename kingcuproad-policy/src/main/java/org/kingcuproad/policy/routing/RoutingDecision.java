package org.kingcuproad.policy.routing;

/** Where a request goes, or why it cannot go anywhere now. */
public sealed interface RoutingDecision {

    /**
     * The request goes to this upstream.
     *
     * @param upstream name of the upstream
     * @param reason why this upstream was chosen
     * @param estimatedLoad requests estimated to be on the upstream before this one
     * @param matchedBlocks blocks of the prompt that the upstream is thought to have in its cache
     * @param expectedFirstTokenMs estimated time to the first token, in milliseconds; 0 while nothing is known
     */
    record Chosen(
            String upstream, ChoiceReason reason, double estimatedLoad, int matchedBlocks, double expectedFirstTokenMs)
            implements RoutingDecision {}

    /**
     * No upstream can take the request now.
     *
     * @param reason what keeps the upstreams from taking it
     */
    record None(NoChoiceReason reason) implements RoutingDecision {}
}
