package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against gateways that together overfill an upstream because they do not hear each other. */
class PlaceLimitTest {

    @Test
    void sharesAllPlacesWhenAllGatewaysAreHeard() {
        assertThat(PlaceLimit.of(8, 5, 0, 2, 3)).isEqualTo(8);
    }

    @Test
    void leavesPlacesForSilentGateways() {
        assertThat(PlaceLimit.of(8, 2, 1, 2, 1)).isEqualTo(6);
        assertThat(PlaceLimit.of(8, 0, 5, 2, 0)).isEqualTo(2);
    }

    @Test
    void leavesEachGatewayTwoPlacesOfItsOwn() {
        assertThat(PlaceLimit.of(2, 0, 7, 1, 0)).isEqualTo(2);
    }
}
