package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against uploads that take all memory of a gateway, and against small requests that are held up by them. */
class MemoryAccountTest {

    private static final long MEGABYTE = 1 << 20;
    private static final long LARGE_BYTES = 4 * MEGABYTE;

    private final MemoryAccount account = MemoryAccount.ofProcess(64 * MEGABYTE, 96 * MEGABYTE);

    private int admitLargeBodies() {
        int admitted = 0;
        while (BodyAdmission.of(account, LARGE_BYTES, false, 0) == BodyAdmission.ADMIT) {
            account.reserveLargeBody(LARGE_BYTES);
            admitted++;
        }
        return admitted;
    }

    @Test
    void stayedWithinTheSmallerMemory() {
        assertThat(account.limitBytes()).isEqualTo(48 * MEGABYTE);
        assertThat(MemoryAccount.ofProcess(512 * MEGABYTE, 96 * MEGABYTE).limitBytes())
                .isEqualTo(48 * MEGABYTE);
    }

    @Test
    void pausesAndThenRefusesLargeBodiesWhileSmallOnesGoOn() {
        assertThat(admitLargeBodies()).isEqualTo(9);

        assertThat(BodyAdmission.of(account, LARGE_BYTES, false, BodyAdmission.MAX_PAUSE_MS - 1))
                .isEqualTo(BodyAdmission.PAUSE);
        assertThat(BodyAdmission.of(account, LARGE_BYTES, false, BodyAdmission.MAX_PAUSE_MS))
                .isEqualTo(BodyAdmission.REFUSE);
        assertThat(BodyAdmission.of(account, BodyAdmission.MAX_SMALL_BYTES, true, 0))
                .isEqualTo(BodyAdmission.ADMIT);
        assertThat(account.exhausted()).isFalse();
    }

    @Test
    void admitsTheNextLargeBodyWhenOneIsComplete() {
        admitLargeBodies();
        account.releaseLargeBody(LARGE_BYTES);

        assertThat(BodyAdmission.of(account, LARGE_BYTES, true, 0)).isEqualTo(BodyAdmission.PAUSE);
        assertThat(BodyAdmission.of(account, LARGE_BYTES, false, 100)).isEqualTo(BodyAdmission.ADMIT);
    }

    @Test
    void countsBlocksThatAreKeptForLaterBodies() {
        admitLargeBodies();
        account.releaseLargeBody(9 * LARGE_BYTES);
        account.add(12 * MEGABYTE);

        assertThat(account.heldBytes()).isEqualTo(48 * MEGABYTE);
        assertThat(account.exhausted()).isTrue();
        assertThat(BodyAdmission.of(account, LARGE_BYTES, false, 0)).isEqualTo(BodyAdmission.ADMIT);
    }

    @Test
    void refusesSmallBodiesOnlyWhenTheirReserveIsUsedUp() {
        account.add(48 * MEGABYTE);
        assertThat(BodyAdmission.of(account, 1_000, false, 0)).isEqualTo(BodyAdmission.ADMIT);

        account.add(6 * MEGABYTE);
        assertThat(BodyAdmission.of(account, 1_000, false, 0)).isEqualTo(BodyAdmission.REFUSE);
        assertThat(BodyAdmission.of(account, 0, false, 0)).isEqualTo(BodyAdmission.ADMIT);
    }
}
