package org.kingcuproad.policy.lockstep;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a pass that begins with different maps on two ranks, and against a group that stands still for good,
 * while orders are lost or late and agents stop at any moment.
 */
class PassSwitchTest {

    private static final int RANKS = 4;
    private static final long TICK_MS = 5;
    private static final long DAY_MS = 60_000;

    /** At the end of a day nothing fails and no change begins, so a group that is still held stays so for good. */
    private static final long QUIET_END_MS = 20_000;

    private static final long RESCUE_MS = 300;
    private static final long SILENT_MS = 150;
    private static final long ORDER_TIMEOUT_MS = 25;

    private static ExpertLists map(int rotation) {
        int[][] byRank = new int[RANKS][];
        for (int rank = 0; rank < RANKS; rank++) {
            byRank[rank] = new int[] {(rank + rotation) % RANKS};
        }
        return ExpertLists.of(new int[][][] {byRank});
    }

    /** The agents of one group; each acts at its own engine. A frozen VM answers nobody. */
    private static final class Agents {

        private final FakeGroup group;
        private final Random random;
        private final boolean freezeAtHold;
        private final PassSwitch[] switches = {new PassSwitch(RANKS, 0), new PassSwitch(RANKS, 1)};
        private final long[] stoppedUntilMs = new long[RANKS];
        private final boolean[] frozen = new boolean[RANKS];
        private final RankWish[] wishes = new RankWish[RANKS];
        private final long[] busyUntilMs = new long[RANKS];
        private final RankState[] lastTold = new RankState[RANKS];
        private final List<ExpertLists> known = new ArrayList<>(List.of(map(0)));
        private long lastBeginMs;

        private Agents(FakeGroup group, Random random, boolean freezeAtHold) {
            this.group = group;
            this.random = random;
            this.freezeAtHold = freezeAtHold;
        }

        private void stop(int rank, boolean freeze, boolean restart, long untilMs) {
            stoppedUntilMs[rank] = untilMs;
            frozen[rank] = freeze;
            if (restart && !freeze && rank < switches.length) {
                switches[rank] = new PassSwitch(RANKS, rank);
                wishes[rank] = null;
            }
        }

        private boolean stopped(int rank, long nowMs) {
            return nowMs < stoppedUntilMs[rank];
        }

        private boolean reachable(int rank, long nowMs) {
            return !frozen[rank] || !stopped(rank, nowMs);
        }

        private void tick(long nowMs, boolean mayBegin) {
            for (int rank = 0; rank < RANKS; rank++) {
                if (!stopped(rank, nowMs)) {
                    lastTold[rank] = group.state(rank, nowMs);
                }
            }
            for (int own = 0; own < switches.length; own++) {
                if (!stopped(own, nowMs)) {
                    decide(own, mayBegin, nowMs);
                }
            }
            for (int rank = 0; rank < RANKS; rank++) {
                if (!stopped(rank, nowMs) && wishes[rank] != null) {
                    act(rank, wishes[rank], nowMs);
                }
            }
        }

        private void decide(int own, boolean mayBegin, long nowMs) {
            PassSwitch decider = switches[own];
            for (int rank = 0; rank < RANKS; rank++) {
                boolean silent = lastTold[rank] == null || nowMs - lastTold[rank].reportedMs() > SILENT_MS;
                if (!silent) {
                    decider.onState(lastTold[rank]);
                } else if (decider.phase() != PassSwitch.Phase.IDLE && reachable(rank, nowMs)) {
                    decider.onState(group.state(rank, nowMs));
                    if (wishes[own] != null) {
                        act(rank, wishes[own], nowMs);
                    }
                }
            }
            if (own == 1 && lastTold[0] != null && nowMs - lastTold[0].reportedMs() > RESCUE_MS) {
                decider.rescue(nowMs);
            }
            if (own == 0 && mayBegin && decider.mayBegin(nowMs) && nowMs - lastBeginMs > 300) {
                lastBeginMs = nowMs;
                ExpertLists next = map(known.size());
                known.add(next);
                decider.begin(decider.newVersion(random.nextInt()), next, nowMs);
            }
            ExpertLists current = group.mapInUse().orElse(known.getFirst());
            for (SwitchAction action : decider.next(Optional.of(current), random.nextInt(), nowMs)) {
                carryOut(own, decider, action, nowMs);
            }
        }

        private void carryOut(int own, PassSwitch decider, SwitchAction action, long nowMs) {
            switch (action) {
                case SwitchAction.Hold hold -> {
                    Boolean answer = order(PassSwitch.HOLDER, new EngineOrder.Hold(hold.step()), nowMs);
                    if (freezeAtHold) {
                        stop(0, true, false, nowMs + 4_000);
                    } else if (answer != null) {
                        decider.onHold(hold.step(), answer, nowMs);
                    }
                }
                case SwitchAction.Release release -> {
                    Boolean answer = order(PassSwitch.HOLDER, new EngineOrder.Release(release.step()), nowMs);
                    if (answer != null) {
                        decider.onRelease(release.step(), answer, nowMs);
                    }
                }
                case SwitchAction.Wish wish -> {
                    for (int rank = 0; rank < RANKS; rank++) {
                        boolean turn = !(wish.wish() instanceof RankWish.Armed) || decider.mayArm(rank, nowMs);
                        if (rank == own || turn) {
                            wishes[rank] = wish.wish();
                        }
                    }
                }
            }
        }

        private void act(int rank, RankWish wish, long nowMs) {
            if (wish instanceof RankWish.Armed && rank == 0 && !switches[0].mayArm(0, nowMs)) {
                return;
            }
            Optional<EngineOrder> order = EngineOrder.towards(group.state(rank, nowMs), wish);
            if (order.isPresent() && nowMs >= busyUntilMs[rank]) {
                boolean answered = order(rank, order.get(), nowMs) != null;
                busyUntilMs[rank] = nowMs + (answered ? 0 : ORDER_TIMEOUT_MS);
            }
        }

        private @Nullable Boolean order(int rank, EngineOrder order, long nowMs) {
            return group.order(rank, order, frozen[rank] ? stoppedUntilMs[rank] : 0, nowMs);
        }
    }

    private record Troubles(
            double lostShare, double stopShare, boolean restart, boolean freeze, boolean freezeAtHold) {}

    private static FakeGroup play(long seed, Troubles troubles) {
        Random random = new Random(seed);
        FakeGroup group = new FakeGroup(RANKS, troubles.lostShare, random);
        Agents agents = new Agents(group, random, troubles.freezeAtHold);
        for (long nowMs = 0; nowMs < DAY_MS; nowMs += TICK_MS) {
            boolean quiet = nowMs > DAY_MS - QUIET_END_MS;
            if (!quiet && random.nextDouble() < troubles.stopShare) {
                agents.stop(
                        random.nextInt(RANKS), troubles.freeze, troubles.restart, nowMs + 500 + random.nextInt(4_000));
            }
            agents.tick(nowMs, !quiet);
            group.advance(nowMs);
        }
        return group;
    }

    @Test
    void changesMapsWithoutStandingStillWhenNothingFails() {
        FakeGroup group = play(1, new Troubles(0, 0, false, false, false));

        assertThat(group.state(0, 0).mapVersion()).isPositive();
        assertThat(group.longestStandingMs()).isZero();
    }

    @ParameterizedTest
    @CsvSource({
        "0.1, 0, false, false",
        "0.4, 0, false, false",
        "0.7, 0, false, false",
        "0, 0.002, false, false",
        "0, 0.002, true, false",
        "0, 0.002, false, true",
        "0.3, 0.003, false, false",
        "0.3, 0.003, true, false",
        "0.3, 0.003, false, true"
    })
    void keepsPassesUniform(double lostShare, double stopShare, boolean restart, boolean freeze) {
        for (long seed = 0; seed < 150; seed++) {
            FakeGroup group = play(seed, new Troubles(lostShare, stopShare, restart, freeze, false));

            assertThat(group.held()).as("group held at the end, seed %d", seed).isFalse();
            assertThat(group.step()).as("passes, seed %d", seed).isGreaterThan(50);
        }
    }

    @Test
    void endsTheHoldOfACoordinatorThatFreezesAsItHolds() {
        for (long seed = 0; seed < 100; seed++) {
            FakeGroup group = play(seed, new Troubles(0, 0, false, true, true));

            assertThat(group.longestStandingMs()).as("seed %d", seed).isLessThan(1_000);
        }
    }
}
