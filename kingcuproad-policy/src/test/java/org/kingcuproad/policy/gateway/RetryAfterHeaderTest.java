package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests to an upstream that asked for none, and against a malformed wish that stops them. */
class RetryAfterHeaderTest {

    /** 1 December 2026, 12:00:00 UTC. */
    private static final long WALL_MS = 1_796_126_400_000L;

    @ParameterizedTest
    @CsvSource({"2, 2000", "0.25, 250", "' 1.5 ', 1500", "+3, 3000", "0.0001, 1"})
    void readsSeconds(String header, long delayMs) {
        assertThat(RetryAfterHeader.parse(header, WALL_MS)).hasValue(delayMs);
    }

    @Test
    void readsADate() {
        assertThat(RetryAfterHeader.parse("Tue, 01 Dec 2026 12:00:05 GMT", WALL_MS))
                .hasValue(5_000);
        assertThat(RetryAfterHeader.parse("Tue, 01 Dec 2026 11:59:59 GMT", WALL_MS))
                .isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", " ", "soon", "-1", "0", "1 s", "--2", "NaN", "Tue, 41 Dec 2026 12:00:05 GMT"})
    void ignoresWhatIsNoDelay(String header) {
        assertThat(RetryAfterHeader.parse(header, WALL_MS)).isEmpty();
    }

    @Test
    void ignoresAnAbsentHeader() {
        assertThat(RetryAfterHeader.parse(null, WALL_MS)).isEmpty();
    }

    /** Guards against an overflow when the delay is added to the present time. */
    @ParameterizedTest
    @ValueSource(strings = {"99999999999999999999999999", "1e300", "9223372036854775807"})
    void limitsADelayThatIsTooLarge(String header) {
        assertThat(RetryAfterHeader.parse(header, WALL_MS).orElseThrow() + WALL_MS)
                .isPositive();
    }
}
