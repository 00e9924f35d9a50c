package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against non-idempotent requests that run twice and against requests that wait indefinitely at a stalled
 * upstream.
 */
class RetryPolicyTest {

    private static GatewayRoute route(RouteKind kind, int attempts, boolean resumable) {
        return new GatewayRoute(
                "r", "h", "/", kind, 8_000, 400, attempts, 0, false, resumable, List.of(new WeightedService("s", 1)));
    }

    private static AttemptProgress streaming(long lastEventMs) {
        return new AttemptProgress(true, 0, lastEventMs, 0, false);
    }

    @Test
    void neverRetriesNonIdempotentRequestThatMayHaveRun() {
        assertThat(RetryPolicy.mayRetry(route(RouteKind.NON_IDEMPOTENT, 3, false), 1, true, 1_000))
                .isFalse();
        assertThat(RetryPolicy.mayRetry(route(RouteKind.STREAMING, 3, false), 1, true, 1_000))
                .isFalse();
        assertThat(RetryPolicy.mayRetry(route(RouteKind.NON_IDEMPOTENT, 3, false), 1, false, 1_000))
                .isTrue();
    }

    @Test
    void limitsAttemptsToThoseOfTheRoute() {
        assertThat(RetryPolicy.mayRetry(route(RouteKind.IDEMPOTENT, 2, false), 1, true, 1_000))
                .isTrue();
        assertThat(RetryPolicy.mayRetry(route(RouteKind.IDEMPOTENT, 2, false), 2, true, 1_000))
                .isFalse();
    }

    @Test
    void detectsStalledStreamWhileOthersProgress() {
        ServiceStatistics statistics = new ServiceStatistics();
        statistics.onResponseStarted(200, 1_000);
        statistics.onEvent(5_000);

        assertThat(RetryPolicy.isStalled(route(RouteKind.STREAMING, 2, true), streaming(4_400), statistics, 5_000))
                .isTrue();
        assertThat(RetryPolicy.isStalled(route(RouteKind.STREAMING, 2, true), streaming(4_900), statistics, 5_000))
                .isFalse();
    }

    /** Guards against ending a stream whose events are far apart because other streams of the service are faster. */
    @Test
    void allowsTwiceTheOwnIntervalOfASlowStream() {
        ServiceStatistics statistics = new ServiceStatistics();
        statistics.onEvent(5_000);
        GatewayRoute route = route(RouteKind.STREAMING, 2, true);

        assertThat(RetryPolicy.isStalled(route, new AttemptProgress(true, 0, 4_200, 500, false), statistics, 5_000))
                .isFalse();
        assertThat(RetryPolicy.isStalled(route, new AttemptProgress(true, 0, 3_900, 500, false), statistics, 5_000))
                .isTrue();
    }

    /** Guards against blaming the upstream for a client that reads slowly. */
    @Test
    void reportsNoStallWhileTheClientDoesNotRead() {
        ServiceStatistics statistics = new ServiceStatistics();
        statistics.onEvent(5_000);

        assertThat(RetryPolicy.isStalled(
                        route(RouteKind.STREAMING, 2, true),
                        new AttemptProgress(true, 0, 1_000, 50, true),
                        statistics,
                        5_000))
                .isFalse();
    }

    @Test
    void reportsNoStallWhenTheWholeServiceStalls() {
        ServiceStatistics statistics = new ServiceStatistics();
        statistics.onResponseStarted(200, 1_000);
        statistics.onEvent(4_000);

        assertThat(RetryPolicy.isStalled(route(RouteKind.STREAMING, 2, true), streaming(4_000), statistics, 5_000))
                .isFalse();
    }

    @Test
    void neverReportsNonIdempotentRequestAsStalled() {
        assertThat(RetryPolicy.isStalled(
                        route(RouteKind.NON_IDEMPOTENT, 1, false),
                        new AttemptProgress(false, 0, 0, 0, false),
                        new ServiceStatistics(),
                        7_000))
                .isFalse();
    }
}
