package org.kingcuproad.policy.enginegroup;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/**
 * Guards against groups of engines that harm requests which other groups could serve: requests sent to a stopped group,
 * requests refused because of its statistics, and requests sent to the group of a slow rank.
 */
class GroupLoadTest {

    private static final long CRASH_MS = 4_000;
    private static final long REOPEN_MS = 8_000;

    private static void play(GroupLoad load, long fromMs, long untilMs, double perSecond) {
        for (long nowMs = fromMs; nowMs < untilMs; nowMs++) {
            load.tick(nowMs);
            if (Math.floor((nowMs + 1) * perSecond / 1_000) > Math.floor(nowMs * perSecond / 1_000)) {
                load.submit(nowMs);
            }
        }
    }

    /** Plays a load during which the agents of a broken group notice it 200 ms after the gateway. */
    private static GroupLoad playCrash(double perSecond) {
        GroupLoad load = new GroupLoad();
        play(load, 0, CRASH_MS, perSecond);
        load.crash(1, CRASH_MS);
        play(load, CRASH_MS, REOPEN_MS, perSecond);
        return load;
    }

    @Test
    void refusesNothingForStoppedGroupWhileOthersHaveCapacity() {
        GroupLoad load = playCrash(150);

        assertThat(load.refused).isZero();
        assertThat(load.sentToKnownBroken).isZero();
    }

    @Test
    void refusesOnlyWhatFullGroupsCannotServe() {
        // 300 streams a second of 1.8 s need 552 slots, and two groups have 336.
        GroupLoad load = playCrash(300);

        assertThat(load.refusedWithCapacity).isZero();
        assertThat(load.sentToKnownBroken).isZero();
        assertThat(load.started[0] + load.started[2]).isGreaterThan(load.refused);
    }

    @Test
    void rampsUpGroupThatOpensAgain() {
        GroupLoad load = playCrash(150);
        load.reopen(1, REOPEN_MS);
        int before = load.started[1];
        play(load, REOPEN_MS, REOPEN_MS + 200, 150);

        assertThat(load.started[1] - before).isBetween(1, GroupLoad.RANKS);

        play(load, REOPEN_MS + 200, REOPEN_MS + 6_000, 150);
        before = load.started[1];
        play(load, REOPEN_MS + 6_000, REOPEN_MS + 8_000, 150);

        assertThat(load.started[1] - before).isBetween(80, 120);
    }

    @Test
    void avoidsAllRanksOfGroupWithSlowRank() {
        GroupLoad load = new GroupLoad();
        play(load, 0, CRASH_MS, 100);
        int before = load.started[0];
        load.slowdown[7] = 6;
        load.passFactor[0] = 3;
        play(load, CRASH_MS, CRASH_MS + 4_000, 100);

        assertThat(load.started[0] - before).isZero();
        assertThat(load.refused).isZero();
    }

    @Test
    void sendsLessToCopyingGroup() {
        GroupLoad load = new GroupLoad();
        Arrays.fill(load.copying, 2, 3, true);
        play(load, 0, 6_000, 200);

        assertThat((double) load.started[2]).isBetween(load.started[0] * 0.5, load.started[0] * 0.95);
        assertThat(load.refused).isZero();
    }
}
