package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against gateways that together overload an upstream because they don't receive each other's reports. */
class ConcurrencyLimitTest {

    @Test
    void allowsAllSlotsWhenAllGatewaysReport() {
        assertThat(ConcurrencyLimit.of(8, 5, 0, 2, 3)).isEqualTo(8);
    }

    @Test
    void reservesSlotsForSilentGateways() {
        assertThat(ConcurrencyLimit.of(8, 2, 1, 2, 1)).isEqualTo(6);
        assertThat(ConcurrencyLimit.of(8, 0, 5, 2, 0)).isEqualTo(2);
    }

    @Test
    void allowsEachGatewayTwoRequests() {
        assertThat(ConcurrencyLimit.of(2, 0, 7, 1, 0)).isEqualTo(2);
    }
}
