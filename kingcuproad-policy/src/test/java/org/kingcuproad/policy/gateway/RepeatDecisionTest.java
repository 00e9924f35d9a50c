package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against orders that run twice and against requests that wait for good at a hanging upstream. */
class RepeatDecisionTest {

    private static GatewayRoute route(RouteKind kind, int attempts, boolean resumable) {
        return new GatewayRoute(
                "r", "h", "/", kind, 8_000, 400, attempts, 0, false, resumable, List.of(new WeightedService("s", 1)));
    }

    @Test
    void neverRepeatsWhatMayHaveRunAndMayNotRunTwice() {
        assertThat(RepeatDecision.mayRepeat(route(RouteKind.NON_IDEMPOTENT, 3, false), 1, true, 1_000))
                .isFalse();
        assertThat(RepeatDecision.mayRepeat(route(RouteKind.STREAMING, 3, false), 1, true, 1_000))
                .isFalse();
        assertThat(RepeatDecision.mayRepeat(route(RouteKind.NON_IDEMPOTENT, 3, false), 1, false, 1_000))
                .isTrue();
    }

    @Test
    void keepsToTheRoutesAttempts() {
        assertThat(RepeatDecision.mayRepeat(route(RouteKind.IDEMPOTENT, 2, false), 1, true, 1_000))
                .isTrue();
        assertThat(RepeatDecision.mayRepeat(route(RouteKind.IDEMPOTENT, 2, false), 2, true, 1_000))
                .isFalse();
    }

    @Test
    void findsAStreamThatStandsStillWhileOthersMove() {
        ServicePace pace = new ServicePace();
        pace.onAnswerBegun(200, 1_000);
        pace.onEvent(5_000);

        assertThat(RepeatDecision.looksHung(route(RouteKind.STREAMING, 2, true), true, 0, 4_400, pace, 5_000))
                .isTrue();
        assertThat(RepeatDecision.looksHung(route(RouteKind.STREAMING, 2, true), true, 0, 4_900, pace, 5_000))
                .isFalse();
    }

    @Test
    void blamesNoSingleUpstreamWhenTheWholeGroupStandsStill() {
        ServicePace pace = new ServicePace();
        pace.onAnswerBegun(200, 1_000);
        pace.onEvent(4_000);

        assertThat(RepeatDecision.looksHung(route(RouteKind.STREAMING, 2, true), true, 0, 4_000, pace, 5_000))
                .isFalse();
    }

    @Test
    void neverCallsAnOrderHung() {
        assertThat(RepeatDecision.looksHung(
                        route(RouteKind.NON_IDEMPOTENT, 1, false), false, 0, 0, new ServicePace(), 7_000))
                .isFalse();
    }
}
