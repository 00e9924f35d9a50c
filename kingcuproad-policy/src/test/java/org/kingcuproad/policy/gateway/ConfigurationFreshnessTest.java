package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Guards against API keys that are still accepted after their revocation, on VMs without contact to the store or after
 * a suspension.
 */
class ConfigurationFreshnessTest {

    private static final long REVOKE_MS = 5_000;

    @Test
    void acceptsNoKeyBeforeFirstConfirmation() {
        assertThat(new ConfigurationFreshness(true, REVOKE_MS).acceptsKeys(0, 0))
                .isFalse();
    }

    @Test
    void stopsAcceptingKeysBeforeRevocationTimeElapses() {
        ConfigurationFreshness freshness = new ConfigurationFreshness(true, REVOKE_MS);
        freshness.confirm(1_000, 50_000);

        assertThat(freshness.acceptsKeys(5_000, 54_000)).isTrue();
        assertThat(freshness.acceptsKeys(1_000 + REVOKE_MS - 1, 50_000 + REVOKE_MS - 1))
                .isFalse();
    }

    @Test
    void countsTimeSpentSuspended() {
        ConfigurationFreshness freshness = new ConfigurationFreshness(true, REVOKE_MS);
        freshness.confirm(1_000, 50_000);

        assertThat(freshness.acceptsKeys(1_010, 50_000 + REVOKE_MS))
                .as("the steady clock stopped during the suspension, the wall clock did not")
                .isFalse();
    }

    @Test
    void usesSteadyClockWhenWallClockJumpsBack() {
        ConfigurationFreshness freshness = new ConfigurationFreshness(true, REVOKE_MS);
        freshness.confirm(1_000, 50_000);

        assertThat(freshness.acceptsKeys(1_000 + REVOKE_MS, 48_000)).isFalse();
    }

    @Test
    void becomesUnreadyBeforeItStopsAcceptingKeys() {
        ConfigurationFreshness freshness = new ConfigurationFreshness(true, REVOKE_MS);
        freshness.confirm(0, 0);

        assertThat(freshness.ready(2_000, 2_000)).isTrue();
        assertThat(freshness.ready(3_500, 3_500)).isFalse();
        assertThat(freshness.acceptsKeys(3_500, 3_500)).isTrue();
    }
}
