package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against planned stops that outlast the grace period, or end while clients still come. */
class ShutdownSequenceTest {

    private static final long START_MS = 50_000;
    private static final long GRACE_MS = 8_000;
    private static final long SERVICE_END_MS = 7_400;

    private final ShutdownSequence sequence = new ShutdownSequence();

    ShutdownSequenceTest() {
        sequence.start(GRACE_MS, START_MS);
    }

    /** Guards against waiting for the end of a grace period that was extended after the forced end was scheduled. */
    @Test
    void endsServiceWithinTheGracePeriodOfTheStart() {
        assertThat(sequence.untilServiceEndMs(2 * GRACE_MS, START_MS + 1_000)).isEqualTo(SERVICE_END_MS - 1_000);
        assertThat(sequence.untilServiceEndMs(GRACE_MS / 2, START_MS + 1_000))
                .isEqualTo(SERVICE_END_MS - GRACE_MS / 2 - 1_000);
    }

    @Test
    void listensWhileClientsAreConnected() {
        assertThat(sequence.stopsListening(1, START_MS, GRACE_MS, START_MS + SERVICE_END_MS))
                .isFalse();
        assertThat(sequence.stopsListening(1, START_MS, GRACE_MS, START_MS + SERVICE_END_MS + 1))
                .isTrue();
    }

    /** Guards against refusing clients that a load balancer sends because few gateways are in rotation. */
    @Test
    void listensBetweenClientsThatFollowEachOther() {
        assertThat(sequence.stopsListening(0, START_MS + 4_900, GRACE_MS, START_MS + 5_000))
                .isFalse();
    }

    @Test
    void endsEarlyWithoutClientsOnceTheBalancerHasRemovedTheGateway() {
        assertThat(sequence.stopsListening(0, START_MS, GRACE_MS, START_MS + 2_300))
                .isFalse();
        assertThat(sequence.stopsListening(0, START_MS, GRACE_MS, START_MS + 2_301))
                .isTrue();
        assertThat(sequence.isComplete(0, GRACE_MS, START_MS + 2_301)).isTrue();
    }
}
