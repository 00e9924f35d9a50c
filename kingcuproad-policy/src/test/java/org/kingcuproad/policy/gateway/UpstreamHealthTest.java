package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against an upstream whose responses may be cut off being preferred, and against it being ejected. */
class UpstreamHealthTest {

    @Test
    void prefersOthersToAnUpstreamWithUnconfirmedResponses() {
        UpstreamHealth health = new UpstreamHealth();
        for (int response = 0; response < 10; response++) {
            health.onSuccess(1);
            health.onUnconfirmed();
        }

        assertThat(health.failureRate()).isGreaterThan(0.4);
        assertThat(health.admits(0, 1_000)).isTrue();
    }
}
