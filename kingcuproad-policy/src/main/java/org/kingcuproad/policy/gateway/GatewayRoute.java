package org.kingcuproad.policy.gateway;

import java.util.List;

/**
 * A route of a gateway.
 *
 * @param name name of the route
 * @param host host name that requests are sent to, in lower case
 * @param pathPrefix path prefix, with a leading and a trailing slash
 * @param kind whether requests may run more than once, and whether the response is an event stream
 * @param timeoutMs maximum time until a request gets its complete response, in milliseconds
 * @param latencyGoalMs time within which a response, or the first event of a stream, counts as on time, in milliseconds
 * @param attempts maximum number of upstreams that one request is sent to
 * @param priority priority of requests, 0 is the highest
 * @param anonymous whether requests need no API key
 * @param resumable whether a stream may be resumed at another upstream
 * @param services services that requests are distributed over
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
     * Returns whether a request may run more than once.
     *
     * @return {@code true} for idempotent requests and for streams that may be resumed
     */
    public boolean retryable() {
        return switch (kind) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> false;
            case STREAMING -> resumable;
        };
    }

    /**
     * Selects a service at random, in proportion to the weights.
     *
     * @param draw a uniformly distributed random number from 0 (inclusive) to 1 (exclusive)
     * @return name of the service
     */
    public String selectService(double draw) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double remaining = draw * total;
        for (WeightedService candidate : services) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return services.getLast().service();
    }
}
