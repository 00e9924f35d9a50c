package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against serving requests that a planned stop cuts off, and against rejecting those that end before it. */
class ShutdownAdmissionDecisionTest {

    private static final OptionalLong LONGEST_RECENT_MS = OptionalLong.of(3_000);

    @ParameterizedTest
    @CsvSource({
        // removedFromBalancer, untilStopMs, timeAllowedMs, admitted
        "false, 3000, 8000, true",
        "false, 2999, 8000, false",
        "false, 1000,  900, true",
        "true,  7000, 8000, false",
        "true,  2500, 2500, true",
        "true,  2499, 2500, false",
        "true,    -1,    1, false",
    })
    void admitsWhatEndsBeforeTheStop(
            boolean removedFromBalancer, long untilStopMs, long timeAllowedMs, boolean admitted) {
        assertThat(ShutdownAdmissionDecision.of(removedFromBalancer, untilStopMs, timeAllowedMs, LONGEST_RECENT_MS)
                        .admitted())
                .isEqualTo(admitted);
    }

    /** Guards against admitting streams of unknown length, for example at a gateway that has just started. */
    @Test
    void assumesThatAResponseTakesAllOfItsTimeIfNoneHasBeenSeen() {
        ShutdownAdmissionDecision decision = ShutdownAdmissionDecision.of(false, 7_400, 8_000, OptionalLong.empty());

        assertThat(decision.admitted()).isFalse();
        assertThat(decision.neededMs()).isEqualTo(8_000);
    }
}
