package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AnnouncedLimitTest {

    @Test
    void readsDecimalNumbers() {
        assertThat(AnnouncedLimit.parse(" 2.75 ")).hasValue(2.75);
        assertThat(AnnouncedLimit.parse("0")).hasValue(0);
    }

    /** Guards against stopping all requests to an upstream because of a header that can't be read. */
    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "NaN", "Infinity", "many"})
    void ignoresWhatIsNoLimit(String header) {
        assertThat(AnnouncedLimit.parse(header)).isEmpty();
    }

    @Test
    void findsNoLimitWithoutAHeader() {
        assertThat(AnnouncedLimit.parse(null)).isEmpty();
    }
}
