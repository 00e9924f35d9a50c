package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.kingcuproad.policy.gateway.UpstreamAvailability.Available;
import org.kingcuproad.policy.gateway.UpstreamAvailability.Reason;
import org.kingcuproad.policy.gateway.UpstreamAvailability.Unavailable;

/** Guards against requests to upstreams that want none, and against upstreams that never get any again. */
class UpstreamAvailabilityTest {

    private static final long NOW_MS = 100_000;
    private static final UpstreamState SOUND =
            new UpstreamState(false, false, false, false, false, 0, 0, 0, true, true);

    private static UpstreamState backingOffUntil(long untilMs, long lastSendMs) {
        return new UpstreamState(false, false, false, false, false, untilMs, 0, lastSendMs, true, true);
    }

    @Test
    void sendsToASoundUpstream() {
        assertThat(UpstreamAvailability.of(SOUND, NOW_MS)).isEqualTo(new Available());
    }

    @Test
    void neverSendsToAnUpstreamThatLeaves() {
        UpstreamState leaving = new UpstreamState(false, false, false, true, false, NOW_MS + 5, 0, 0, false, false);

        assertThat(UpstreamAvailability.of(leaving, NOW_MS))
                .isEqualTo(new Unavailable(Reason.LEAVING, UpstreamAvailability.NEVER_MS));
    }

    @Test
    void namesTheEndOfABackOff() {
        assertThat(UpstreamAvailability.of(backingOffUntil(NOW_MS + 5, 0), NOW_MS))
                .isEqualTo(new Unavailable(Reason.BACKING_OFF, NOW_MS + 5));
    }

    /** Guards against all waiting requests returning at the same moment. */
    @Test
    void letsRequestsReturnByDegrees() {
        assertThat(UpstreamAvailability.of(backingOffUntil(NOW_MS, NOW_MS - 400), NOW_MS))
                .isEqualTo(new Available());
        assertThat(UpstreamAvailability.of(backingOffUntil(NOW_MS - 10, NOW_MS - 5), NOW_MS))
                .isEqualTo(new Unavailable(Reason.RETURNING, NOW_MS + 45));
        assertThat(UpstreamAvailability.of(backingOffUntil(NOW_MS - 1_000, NOW_MS - 5), NOW_MS))
                .isEqualTo(new Available());
    }

    @Test
    void tellsTheOtherReasons() {
        assertThat(UpstreamAvailability.of(
                        new UpstreamState(false, false, false, false, false, 0, 0, 0, false, true), NOW_MS))
                .isEqualTo(new Unavailable(Reason.EJECTED, NOW_MS));
        assertThat(UpstreamAvailability.of(
                        new UpstreamState(false, false, false, false, false, 0, 0, 0, true, false), NOW_MS))
                .isEqualTo(new Unavailable(Reason.LIMITED, NOW_MS));
        assertThat(UpstreamAvailability.of(
                        new UpstreamState(false, false, false, false, true, 0, 0, 0, true, true), NOW_MS))
                .isEqualTo(new Unavailable(Reason.EVACUATED, NOW_MS));
        assertThat(UpstreamAvailability.of(
                        new UpstreamState(false, false, false, false, false, 0, NOW_MS + 5, 0, true, true), NOW_MS))
                .isEqualTo(new Unavailable(Reason.COLD, NOW_MS + 5));
        assertThat(UpstreamAvailability.of(
                        new UpstreamState(false, false, true, false, false, 0, 0, 0, true, true), NOW_MS))
                .isEqualTo(new Unavailable(Reason.DRAINING, UpstreamAvailability.NEVER_MS));
    }
}
