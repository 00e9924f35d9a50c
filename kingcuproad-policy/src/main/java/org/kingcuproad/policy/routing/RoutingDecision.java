package org.kingcuproad.policy.routing;

/** Result of routing a request. */
public sealed interface RoutingDecision {

    /**
     * An upstream was chosen for the request.
     *
     * @param upstream name of the upstream
     * @param reason reason for choosing this upstream
     * @param estimatedLoad estimated number of requests at the upstream, not counting this one
     * @param matchedBlocks leading blocks of the prompt that the upstream is assumed to have cached
     * @param expectedFirstTokenMs estimated time to the first token, in milliseconds; 0 without observations
     */
    record Chosen(
            String upstream, ChoiceReason reason, double estimatedLoad, int matchedBlocks, double expectedFirstTokenMs)
            implements RoutingDecision {}

    /**
     * No upstream can accept the request now.
     *
     * @param reason reason why no upstream was chosen
     */
    record None(NoChoiceReason reason) implements RoutingDecision {}
}
