package org.kingcuproad.policy.enginegroup;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against groups of engines that harm requests which other groups could serve: requests sent to a stopped group
 * or refused because of it, a group that gets all requests when it opens, and requests sent to a group of a slow rank.
 */
class GroupLoadTest {

    private static final long CRASH_MS = 4_000;
    private static final long REOPEN_MS = 8_000;

    private final GroupLoad load = new GroupLoad();

    private void playCrash(double perSecond) {
        load.play(0, CRASH_MS, perSecond);
        load.crash(1, CRASH_MS);
        load.play(CRASH_MS, REOPEN_MS, perSecond);
    }

    /** 300 streams a second of 1.8 s need 552 slots, and two groups have 336. */
    @ParameterizedTest
    @ValueSource(doubles = {150, 300})
    void refusesOnlyWhatTheOtherGroupsCannotServe(double perSecond) {
        playCrash(perSecond);

        assertThat(load.sentToBroken).isZero();
        assertThat(load.refusedWithCapacity).isZero();
        if (perSecond < 180) {
            assertThat(load.refused).isZero();
        }
    }

    @Test
    void rampsUpGroupThatOpensAgain() {
        playCrash(150);
        load.reopen(1, REOPEN_MS);
        int before = load.started[1];
        load.play(REOPEN_MS, REOPEN_MS + 200, 150);
        assertThat(load.started[1] - before).isBetween(1, GroupLoad.RANKS);

        load.play(REOPEN_MS + 200, REOPEN_MS + 6_000, 150);
        before = load.started[1];
        load.play(REOPEN_MS + 6_000, REOPEN_MS + 8_000, 150);
        assertThat(load.started[1] - before).isBetween(80, 120);
    }

    @Test
    void avoidsAllRanksOfGroupWithSlowRank() {
        load.play(0, CRASH_MS, 100);
        int before = load.started[0];
        load.slowdowns[7] = 6;
        load.passFactors[0] = 3;
        load.play(CRASH_MS, CRASH_MS + 4_000, 100);

        assertThat(load.started[0] - before).isZero();
        assertThat(load.refused).isZero();
    }

    @Test
    void sendsLessToCopyingGroup() {
        load.copying[2] = true;
        load.play(0, 6_000, 200);

        assertThat((double) load.started[2]).isBetween(load.started[0] * 0.5, load.started[0] * 0.95);
        assertThat(load.refused).isZero();
    }
}
