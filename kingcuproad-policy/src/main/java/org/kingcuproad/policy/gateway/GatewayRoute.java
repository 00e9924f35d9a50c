package org.kingcuproad.policy.gateway;

import java.util.List;

/**
 * A route of a gateway.
 *
 * @param name name of the route
 * @param host host name that requests carry, in lower case
 * @param pathPrefix beginning of the path, with a slash at both ends
 * @param kind what may be repeated
 * @param timeoutMs longest time that a request is kept waiting, in milliseconds
 * @param latencyGoalMs time within which an answer, or the first event of a stream, is on time, in milliseconds
 * @param attempts largest number of upstreams that one request is sent to
 * @param priority rank, 0 is the highest
 * @param anonymous whether requests need no key
 * @param resumable whether a stream may go on at another upstream
 * @param services services that the route leads to
 */
public record GatewayRoute(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMs,
        long latencyGoalMs,
        int attempts,
        int priority,
        boolean anonymous,
        boolean resumable,
        List<WeightedService> services) {

    /**
     * Tells whether a request may run more than once.
     *
     * @return {@code true} for idempotent requests and for streams that may be resumed
     */
    public boolean repeatable() {
        return switch (kind) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> false;
            case STREAMING -> resumable;
        };
    }

    /**
     * Chooses a service by weight.
     *
     * @param draw a number drawn evenly from 0 (inclusive) to 1 (exclusive)
     * @return name of the service
     */
    public String service(double draw) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double rest = draw * total;
        for (WeightedService candidate : services) {
            rest -= candidate.weight();
            if (rest < 0) {
                return candidate.service();
            }
        }
        return services.getLast().service();
    }
}
