package org.kingcuproad.policy.lockstep;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/**
 * A group of engines that carries out orders late and without an answer, as some do, and checks that every pass begins
 * with the same map on all ranks.
 */
final class FakeGroup {

    private static final long PASS_MS = 50;

    /** Share of passes after which the group has no work for some seconds, so that late orders find an old step. */
    private static final double IDLE_SHARE = 0.02;

    private static final int LONGEST_IDLE_MS = 8_000;
    private static final int EARLIEST_LATE_MS = 2_000;
    private static final int LATEST_LATE_MS = 12_000;

    private final Rank[] ranks;
    private final Random random;
    private final double lostShare;
    private final PriorityQueue<Late> late = new PriorityQueue<>(Comparator.comparingLong(Late::atMs));
    private long step;
    private long nextPassMs = PASS_MS;
    private long standingSinceMs = -1;
    private long longestStandingMs;

    private record Late(long atMs, int rank, EngineOrder order) {}

    private static final class Rank {
        private final Map<Long, ExpertLists> contents = new HashMap<>();
        private long map;
        private long highest;
        private long prepared = RankState.NONE;
        private long armed = RankState.NONE;
        private long armedStep;
        private long held = RankState.NONE;
    }

    FakeGroup(int size, double lostShare, Random random) {
        this.ranks = new Rank[size];
        this.random = random;
        this.lostShare = lostShare;
        for (int rank = 0; rank < size; rank++) {
            ranks[rank] = new Rank();
        }
    }

    RankState state(int rank, long nowMs) {
        Rank found = ranks[rank];
        return new RankState(rank, 1, true, step, found.map, found.prepared, found.armed, found.held, nowMs);
    }

    /** Returns the content of the map in use, if it isn't the first one. */
    Optional<ExpertLists> mapInUse() {
        return Optional.ofNullable(ranks[0].contents.get(ranks[0].map));
    }

    long longestStandingMs() {
        return longestStandingMs;
    }

    long step() {
        return step;
    }

    boolean held() {
        return List.of(ranks).stream().anyMatch(rank -> rank.held == step + 1);
    }

    /**
     * Gives an order; returns the answer, or null if there is none and the order comes later.
     *
     * @param frozenUntilMs time at which the VM of the rank wakes; orders to it are carried out then
     */
    @Nullable
    Boolean order(int rank, EngineOrder order, long frozenUntilMs, long nowMs) {
        if (frozenUntilMs > nowMs) {
            late.add(new Late(frozenUntilMs, rank, order));
            return null;
        }
        if (random.nextDouble() < lostShare) {
            late.add(new Late(nowMs + random.nextInt(EARLIEST_LATE_MS, LATEST_LATE_MS), rank, order));
            return null;
        }
        return carryOut(ranks[rank], order);
    }

    private boolean carryOut(Rank rank, EngineOrder order) {
        return switch (order) {
            case EngineOrder.Prepare prepare -> {
                if (prepare.version() <= rank.highest || rank.armed != RankState.NONE) {
                    yield false;
                }
                rank.highest = prepare.version();
                rank.prepared = prepare.version();
                rank.contents.put(prepare.version(), prepare.map());
                yield true;
            }
            case EngineOrder.Arm arm -> {
                if (rank.armed == arm.version() && rank.armedStep == arm.step()) {
                    yield true;
                }
                if (rank.prepared != arm.version() || arm.step() <= step) {
                    yield false;
                }
                rank.armed = arm.version();
                rank.armedStep = arm.step();
                yield true;
            }
            case EngineOrder.Disarm disarm -> {
                if (rank.map == disarm.version()) {
                    yield false;
                }
                if (rank.armed == disarm.version()) {
                    rank.armed = RankState.NONE;
                }
                yield true;
            }
            case EngineOrder.Hold hold -> {
                if (hold.step() <= step || (rank.held != RankState.NONE && rank.held != hold.step())) {
                    yield false;
                }
                rank.held = hold.step();
                yield true;
            }
            case EngineOrder.Release release -> {
                if (rank.held == release.step()) {
                    rank.held = RankState.NONE;
                }
                yield true;
            }
        };
    }

    /** Lets time pass: late orders arrive and passes begin. */
    void advance(long nowMs) {
        while (!late.isEmpty() && late.peek().atMs() <= nowMs) {
            Late order = late.remove();
            carryOut(ranks[order.rank()], order.order());
        }
        if (nowMs < nextPassMs) {
            return;
        }
        if (held()) {
            standingSinceMs = standingSinceMs < 0 ? nowMs : standingSinceMs;
            longestStandingMs = Math.max(longestStandingMs, nowMs - standingSinceMs);
            return;
        }
        standingSinceMs = -1;
        step++;
        nextPassMs = nowMs + (random.nextDouble() < IDLE_SHARE ? random.nextInt(LONGEST_IDLE_MS) : PASS_MS);
        List<ExpertLists> used = new ArrayList<>();
        for (Rank rank : ranks) {
            if (rank.armed != RankState.NONE && rank.armedStep == step) {
                rank.map = rank.armed;
                rank.armed = RankState.NONE;
                rank.prepared = RankState.NONE;
            }
            if (rank.contents.containsKey(rank.map)) {
                used.add(rank.contents.get(rank.map));
            }
        }
        long versions =
                List.of(ranks).stream().mapToLong(rank -> rank.map).distinct().count();
        if (versions > 1 || used.stream().distinct().count() > 1) {
            throw new AssertionError("pass " + step + " begins with different maps: "
                    + List.of(ranks).stream().map(rank -> rank.map).toList());
        }
    }
}
