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
 * Simulated group of engines that loses answers and then executes the orders late, as real engines can. It fails the
 * test if a pass begins with different maps on two ranks.
 */
final class FakeGroup {

    private static final long PASS_MS = 50;

    /**
     * Probability that the group is idle for some seconds after a pass, so that the step has not advanced when delayed
     * orders arrive.
     */
    private static final double IDLE_PROBABILITY = 0.02;

    private static final int MAX_IDLE_MS = 8_000;
    private static final int MIN_DELAY_MS = 2_000;
    private static final int MAX_DELAY_MS = 12_000;

    private final Engine[] ranks;
    private final Random random;
    private final double lossProbability;
    private final PriorityQueue<DelayedOrder> delayedOrders =
            new PriorityQueue<>(Comparator.comparingLong(DelayedOrder::atMs));
    private long step;
    private long nextPassMs = PASS_MS;
    private long stalledSinceMs = -1;
    private long longestStallMs;

    private record DelayedOrder(long atMs, int rank, EngineOrder order) {}

    private static final class Engine {
        private final Map<Long, ExpertPlacement> mapsByVersion = new HashMap<>();
        private long mapVersion;
        private long highestPrepared;
        private long preparedVersion = RankState.NONE;
        private long armedVersion = RankState.NONE;
        private long armedStep;
        private long heldStep = RankState.NONE;
    }

    FakeGroup(int size, double lossProbability, Random random) {
        this.ranks = new Engine[size];
        this.random = random;
        this.lossProbability = lossProbability;
        for (int rank = 0; rank < size; rank++) {
            ranks[rank] = new Engine();
        }
    }

    RankState state(int rank, long nowMs) {
        Engine engine = ranks[rank];
        return new RankState(
                rank,
                1,
                true,
                step,
                engine.mapVersion,
                engine.preparedVersion,
                engine.armedVersion,
                engine.heldStep,
                nowMs);
    }

    /** Returns the content of the map in use, or empty for the initial map. */
    Optional<ExpertPlacement> mapInUse() {
        return Optional.ofNullable(ranks[0].mapsByVersion.get(ranks[0].mapVersion));
    }

    long longestStallMs() {
        return longestStallMs;
    }

    long step() {
        return step;
    }

    boolean held() {
        return List.of(ranks).stream().anyMatch(rank -> rank.heldStep == step + 1);
    }

    /**
     * Sends an order; returns the answer, or null if there is none and the order is executed later.
     *
     * @param frozenUntilMs time at which the VM of the rank resumes; orders sent to it before are executed then
     */
    @Nullable
    Boolean order(int rank, EngineOrder order, long frozenUntilMs, long nowMs) {
        if (frozenUntilMs > nowMs) {
            delayedOrders.add(new DelayedOrder(frozenUntilMs, rank, order));
            return null;
        }
        if (random.nextDouble() < lossProbability) {
            delayedOrders.add(new DelayedOrder(nowMs + random.nextInt(MIN_DELAY_MS, MAX_DELAY_MS), rank, order));
            return null;
        }
        return execute(ranks[rank], order);
    }

    private boolean execute(Engine rank, EngineOrder order) {
        return switch (order) {
            case EngineOrder.Prepare prepare -> {
                if (prepare.version() <= rank.highestPrepared || rank.armedVersion != RankState.NONE) {
                    yield false;
                }
                rank.highestPrepared = prepare.version();
                rank.preparedVersion = prepare.version();
                rank.mapsByVersion.put(prepare.version(), prepare.map());
                yield true;
            }
            case EngineOrder.Arm arm -> {
                if (rank.armedVersion == arm.version() && rank.armedStep == arm.step()) {
                    yield true;
                }
                if (rank.preparedVersion != arm.version() || arm.step() <= step) {
                    yield false;
                }
                rank.armedVersion = arm.version();
                rank.armedStep = arm.step();
                yield true;
            }
            case EngineOrder.Disarm disarm -> {
                if (rank.mapVersion == disarm.version()) {
                    yield false;
                }
                if (rank.armedVersion == disarm.version()) {
                    rank.armedVersion = RankState.NONE;
                }
                yield true;
            }
            case EngineOrder.Hold hold -> {
                if (hold.step() <= step || (rank.heldStep != RankState.NONE && rank.heldStep != hold.step())) {
                    yield false;
                }
                rank.heldStep = hold.step();
                yield true;
            }
            case EngineOrder.Release release -> {
                if (rank.heldStep == release.step()) {
                    rank.heldStep = RankState.NONE;
                }
                yield true;
            }
        };
    }

    /**
     * Advances the simulation: executes delayed orders that are due and begins the next pass if it is due and not held.
     */
    void advance(long nowMs) {
        while (!delayedOrders.isEmpty() && delayedOrders.peek().atMs() <= nowMs) {
            DelayedOrder order = delayedOrders.remove();
            execute(ranks[order.rank()], order.order());
        }
        if (nowMs < nextPassMs) {
            return;
        }
        if (held()) {
            stalledSinceMs = stalledSinceMs < 0 ? nowMs : stalledSinceMs;
            longestStallMs = Math.max(longestStallMs, nowMs - stalledSinceMs);
            return;
        }
        stalledSinceMs = -1;
        step++;
        nextPassMs = nowMs + (random.nextDouble() < IDLE_PROBABILITY ? random.nextInt(MAX_IDLE_MS) : PASS_MS);
        List<ExpertPlacement> mapsInUse = new ArrayList<>();
        for (Engine rank : ranks) {
            if (rank.armedVersion != RankState.NONE && rank.armedStep == step) {
                rank.mapVersion = rank.armedVersion;
                rank.armedVersion = RankState.NONE;
                rank.preparedVersion = RankState.NONE;
            }
            if (rank.mapsByVersion.containsKey(rank.mapVersion)) {
                mapsInUse.add(rank.mapsByVersion.get(rank.mapVersion));
            }
        }
        long versions = List.of(ranks).stream()
                .mapToLong(rank -> rank.mapVersion)
                .distinct()
                .count();
        if (versions > 1 || mapsInUse.stream().distinct().count() > 1) {
            throw new AssertionError("pass " + step + " begins with different maps: "
                    + List.of(ranks).stream().map(rank -> rank.mapVersion).toList());
        }
    }
}
