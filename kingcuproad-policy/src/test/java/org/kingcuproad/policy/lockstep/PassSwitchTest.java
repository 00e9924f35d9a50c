package org.kingcuproad.policy.lockstep;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
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
    private static final long DAY_MS = 40_000;
    private static final long RESCUE_MS = 300;

    private static ExpertLists map(int rotation) {
        int[][] byRank = new int[RANKS][];
        for (int rank = 0; rank < RANKS; rank++) {
            byRank[rank] = new int[] {(rank + rotation) % RANKS};
        }
        return ExpertLists.of(new int[][][] {byRank});
    }

    /** The agents of one group; each acts at its own engine, and states and wishes take a tick. */
    private static final class Agents {

        private final FakeGroup group;
        private final Random random;
        private final PassSwitch[] switches = new PassSwitch[2];
        private final long[] stoppedUntilMs = new long[RANKS];
        private final RankWish[] wishes = new RankWish[RANKS];
        private final RankState[] lastTold = new RankState[RANKS];
        private ExpertLists current = map(0);
        private final List<ExpertLists> known = new ArrayList<>(List.of(map(0)));
        private int changes;
        private long lastBeginMs;

        private Agents(FakeGroup group, Random random) {
            this.group = group;
            this.random = random;
            switches[0] = new PassSwitch(RANKS, 0);
            switches[1] = new PassSwitch(RANKS, 1);
        }

        private boolean stopped(int rank, long nowMs) {
            return nowMs < stoppedUntilMs[rank];
        }

        private void tick(long nowMs) {
            for (int rank = 0; rank < RANKS; rank++) {
                if (!stopped(rank, nowMs)) {
                    lastTold[rank] = group.state(rank, nowMs);
                }
            }
            for (int own = 0; own < switches.length; own++) {
                if (!stopped(own, nowMs)) {
                    decide(own, nowMs);
                }
            }
            for (int rank = 0; rank < RANKS; rank++) {
                if (!stopped(rank, nowMs) && wishes[rank] != null) {
                    act(rank, wishes[rank], nowMs);
                }
            }
        }

        private void decide(int own, long nowMs) {
            PassSwitch decider = switches[own];
            for (int rank = 0; rank < RANKS; rank++) {
                boolean silent = stopped(rank, nowMs);
                if (silent && decider.phase() != PassSwitch.Phase.IDLE) {
                    RankState seen = group.state(rank, nowMs);
                    decider.onState(seen);
                    if (wishes[own] != null) {
                        act(rank, wishes[own], nowMs);
                    }
                } else if (!silent) {
                    decider.onState(lastTold[rank]);
                }
            }
            if (own == 1
                    && stopped(0, nowMs)
                    && nowMs - lastTold[0].reportedMs() > RESCUE_MS
                    && group.state(0, nowMs).heldStep() != RankState.NONE) {
                decider.onState(group.state(0, nowMs));
                decider.rescue(group.state(0, nowMs).heldStep(), nowMs);
            }
            if (own == 0 && decider.mayBegin(nowMs) && nowMs - lastBeginMs > 300) {
                lastBeginMs = nowMs;
                changes++;
                ExpertLists next = map(changes);
                known.add(next);
                decider.begin(decider.newVersion(random.nextInt()), next, nowMs);
            }
            for (SwitchAction action : decider.next(Optional.of(current), random.nextInt(), nowMs)) {
                carryOut(own, decider, action, nowMs);
            }
            if (own == 0 && decider.phase() == PassSwitch.Phase.IDLE) {
                current = known.getLast();
            }
        }

        private void carryOut(int own, PassSwitch decider, SwitchAction action, long nowMs) {
            switch (action) {
                case SwitchAction.Hold hold -> {
                    Boolean answer = group.order(own, new EngineOrder.Hold(hold.step()), nowMs);
                    if (answer != null) {
                        decider.onHold(hold.step(), answer, nowMs);
                    }
                }
                case SwitchAction.Release release ->
                    group.order(own, new EngineOrder.Release(release.step()), nowMs);
                case SwitchAction.ReleaseCoordinator release ->
                    group.order(0, new EngineOrder.Release(release.step()), nowMs);
                case SwitchAction.Wish wish -> {
                    for (int rank = 0; rank < RANKS; rank++) {
                        wishes[rank] = wish.wish();
                    }
                }
            }
        }

        private void act(int rank, RankWish wish, long nowMs) {
            EngineOrder.towards(group.state(rank, nowMs), wish)
                    .ifPresent(order -> group.order(rank, order, nowMs));
        }
    }

    private static FakeGroup play(long seed, double lostShare, double stopShare, boolean restart) {
        Random random = new Random(seed);
        FakeGroup group = new FakeGroup(RANKS, lostShare, random);
        Agents agents = new Agents(group, random);
        for (long nowMs = 0; nowMs < DAY_MS; nowMs += TICK_MS) {
            if (nowMs < DAY_MS - 15_000 && random.nextDouble() < stopShare) {
                int rank = random.nextInt(RANKS);
                agents.stoppedUntilMs[rank] = nowMs + 500 + random.nextInt(4_000);
                if (restart && rank < agents.switches.length) {
                    agents.switches[rank] = new PassSwitch(RANKS, rank);
                }
            }
            agents.tick(nowMs);
            group.advance(nowMs);
        }
        return group;
    }

    @Test
    void changesMapsWithoutStandingStillWhenNothingFails() {
        FakeGroup group = play(1, 0, 0, false);

        assertThat(group.state(0, 0).mapVersion()).isPositive();
        assertThat(group.longestStandingMs()).isZero();
    }

    @ParameterizedTest
    @CsvSource({"0.1, 0, false", "0.4, 0, false", "0, 0.002, false", "0, 0.002, true", "0.3, 0.003, false", "0.3, 0.003, true"
    })
    void keepsPassesUniform(double lostShare, double stopShare, boolean restart) {
        for (long seed = 0; seed < 150; seed++) {
            FakeGroup group = play(seed, lostShare, stopShare, restart);

            assertThat(group.held()).as("group held at the end, seed %d", seed).isFalse();
            assertThat(group.step()).as("passes, seed %d", seed).isGreaterThan(DAY_MS / 50 / 4);
        }
    }

    @Test
    void endsTheHoldOfAFrozenCoordinatorWithinASecond() {
        for (long seed = 0; seed < 100; seed++) {
            FakeGroup group = play(seed, 0, 0.001, false);

            assertThat(group.longestStandingMs()).as("seed %d", seed).isLessThan(1_000);
        }
    }
}
