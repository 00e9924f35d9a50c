package org.kingcuproad.gateway.rank;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.gateway.ProcessMetrics;
import org.kingcuproad.policy.lockstep.ChoiceSample;
import org.kingcuproad.policy.lockstep.DesiredRankState;
import org.kingcuproad.policy.lockstep.EngineOrder;
import org.kingcuproad.policy.lockstep.ExpertLoads;
import org.kingcuproad.policy.lockstep.ExpertPlacement;
import org.kingcuproad.policy.lockstep.GroupShape;
import org.kingcuproad.policy.lockstep.MapSwitchProtocol;
import org.kingcuproad.policy.lockstep.PassDurationEstimator;
import org.kingcuproad.policy.lockstep.RankState;
import org.kingcuproad.policy.lockstep.ReplicaPlanner;
import org.kingcuproad.policy.lockstep.SwitchAction;
import org.kingcuproad.runtime.log.DecisionLog;

/**
 * Decides when the group changes its map, and to which. The one of rank 0 does so; the one of rank 1 only ends a hold
 * that the agent of rank 0 left behind.
 */
final class MapCoordinator {

    /** Long memory, for times without a shift: a shorter one follows single requests. */
    private static final double LONG_HALF_LIFE_MS = 2_000;

    /** Short memory, for the time after a shift of popularity; on the worst days one comes every few seconds. */
    private static final double SHORT_HALF_LIFE_MS = 500;

    /** Difference of the heaviest loads by short and long memory, in mean loads a set, that shows a shift. */
    private static final double SHIFT = 0.2;

    /** Least time between two plans; a plan takes some milliseconds of a small processor. */
    private static final long PLAN_INTERVAL_MS = 200;

    /** Least reduction of the heaviest rank's load, in mean loads, that pays for the copy of one expert. */
    private static final double LEAST_GAIN_PER_COPY = 0.015;

    /** Least reduction summed over the sets that pays for a change at all. */
    private static final double LEAST_GAIN = 0.3;

    /** Passes below this length leave room below the longest pause that callers accept, in milliseconds. */
    private static final double CALM_PASS_MS = 50;

    /** Passes of this length are near that pause when a long prompt is read, in milliseconds. */
    private static final double TIGHT_PASS_MS = 80;

    /** Least worth of a better map, so that a very uneven map is still mended in calm times. */
    private static final double LEAST_PRESSURE = 0.15;

    /** Recent choices below which the loads say little; a request of usual size makes some ten thousand. */
    private static final double LEAST_CHOICES = 500_000;

    /** Longer than the time between two reports of a rank without anything to do; acting from afar is charged. */
    private static final long SILENT_MS = 260;

    /** Silence of rank 0 after which rank 1 ends its hold; longer than a single lost or late message. */
    private static final long RESCUE_MS = 300;

    private final int ranks;
    private final int ownRank;
    private final GroupShape shape;
    private final DecisionLog log;
    private final ProcessMetrics metrics;
    private final MapSwitchProtocol passSwitch;
    private final ExpertLoads longLoads = new ExpertLoads(LONG_HALF_LIFE_MS);
    private final ExpertLoads shortLoads = new ExpertLoads(SHORT_HALF_LIFE_MS);
    private final SortedMap<Integer, RankExperts> held = new TreeMap<>();
    private @Nullable ExpertPlacement assembled;
    private long assembledEpoch;
    private long assembledVersion;
    private final Map<Integer, Double> paces = new HashMap<>();
    private final Map<Integer, Long> heardMs = new HashMap<>();
    private final PassDurationEstimator pace = new PassDurationEstimator(CALM_PASS_MS, TIGHT_PASS_MS, LEAST_PRESSURE);
    private long plannedMs = Long.MIN_VALUE / 2;
    private long changeSinceMs;
    private MapSwitchProtocol.Phase loggedPhase = MapSwitchProtocol.Phase.IDLE;

    MapCoordinator(int ranks, int ownRank, GroupShape shape, DecisionLog log, ProcessMetrics metrics) {
        this.ranks = ranks;
        this.ownRank = ownRank;
        this.shape = shape;
        this.log = log;
        this.metrics = metrics;
        this.passSwitch = new MapSwitchProtocol(ranks, ownRank);
    }

    boolean active() {
        return passSwitch.phase() != MapSwitchProtocol.Phase.IDLE;
    }

    void onState(RankState state, double rankPace) {
        paces.put(state.rank(), Math.max(1.0, rankPace));
        passSwitch.onState(state);
        heardMs.put(state.rank(), state.reportedMs());
        if (state.rank() == 0) {
            pace.onStep(state.step(), state.reportedMs());
        }
    }

    /** Takes what a rank holds with the map in use. */
    void onHeld(int rank, RankExperts experts) {
        held.put(rank, experts);
        assembled = null;
    }

    /** Tells whether a rank still has to do something to be in the wanted state. */
    boolean pending(int rank, DesiredRankState wish) {
        return passSwitch
                .state(rank)
                .map(state -> EngineOrder.next(state, wish).isPresent())
                .orElse(true);
    }

    /** Takes a state that was read at the engine of a silent rank. */
    void onProxied(RankState state) {
        passSwitch.onState(state);
    }

    /** Tells whether a rank is to follow a wish now; ranks are armed one after the other. */
    boolean mayFollow(DesiredRankState wish, int rank, long nowMs) {
        return !(wish instanceof DesiredRankState.Armed) || passSwitch.mayArm(rank, nowMs);
    }

    /** Ends the hold of a coordinator that has fallen silent. */
    void rescueIfAbandoned(long nowMs) {
        if (ownRank == MapSwitchProtocol.HOLD_RANK
                && nowMs - heardMs.getOrDefault(0, nowMs) > RESCUE_MS
                && passSwitch.beginHoldRecovery(nowMs)) {
            log.event("ending the hold of a silent coordinator")
                    .field("silentMs", nowMs - heardMs.getOrDefault(0, nowMs))
                    .write();
        }
    }

    /** Returns the ranks whose agents have been silent for so long that this agent acts at their engines. */
    List<Integer> silentRanks(long nowMs) {
        if (!active()) {
            return List.of();
        }
        return IntStream.range(0, ranks)
                .filter(rank ->
                        rank != ownRank && nowMs - Math.max(changeSinceMs, heardMs.getOrDefault(rank, 0L)) > SILENT_MS)
                .boxed()
                .toList();
    }

    void onChoices(ChoiceSample sample, long nowMs) {
        longLoads.onSample(sample, nowMs);
        shortLoads.onSample(sample, nowMs);
    }

    void onHold(long step, boolean accepted, long nowMs) {
        passSwitch.onHold(step, accepted, nowMs);
    }

    void onRelease(long step, boolean accepted, long nowMs) {
        passSwitch.onRelease(step, accepted, nowMs);
    }

    /** Returns what to do now; {@code own} is the state of the own rank. */
    List<SwitchAction> next(RankState own, long nowMs) {
        Optional<ExpertPlacement> current = current(own);
        if (ownRank == 0
                && current.isPresent()
                && nowMs - plannedMs >= PLAN_INTERVAL_MS
                && passSwitch.mayBegin(nowMs)) {
            plannedMs = nowMs;
            plan(current.get(), nowMs);
        }
        List<SwitchAction> actions =
                passSwitch.nextActions(current, ThreadLocalRandom.current().nextInt(), nowMs);
        if (passSwitch.phase() != loggedPhase) {
            if (loggedPhase == MapSwitchProtocol.Phase.IDLE) {
                changeSinceMs = nowMs;
            }
            loggedPhase = passSwitch.phase();
            metrics.count("map_change_" + loggedPhase.name().toLowerCase(Locale.ROOT));
            if (loggedPhase == MapSwitchProtocol.Phase.IDLE) {
                metrics.time("map_change_ms", nowMs - changeSinceMs);
            }
            log.event("map change phase")
                    .field("phase", loggedPhase.name())
                    .field("step", own.step())
                    .field("map", own.mapVersion())
                    .write();
        }
        return actions;
    }

    private Optional<ExpertPlacement> current(RankState own) {
        if (assembled == null || assembledEpoch != own.epoch() || assembledVersion != own.mapVersion()) {
            List<int[][]> known = held.values().stream()
                    .filter(rank -> rank.matches(own.epoch(), own.mapVersion()))
                    .map(RankExperts::bySet)
                    .toList();
            assembled = known.size() == ranks ? ExpertPlacement.ofRanks(known) : null;
            assembledEpoch = own.epoch();
            assembledVersion = own.mapVersion();
        }
        return Optional.ofNullable(assembled);
    }

    private void plan(ExpertPlacement current, long nowMs) {
        if (shortLoads.total() < LEAST_CHOICES || current.sets() != shape.sets()) {
            return;
        }
        double[] rankPaces = paces();
        double heaviestByShort = heaviest(current, shortLoads, rankPaces);
        double heaviestByLong = heaviest(current, longLoads, rankPaces);
        boolean shifted = heaviestByShort - heaviestByLong > SHIFT * shape.sets();
        ExpertLoads loads = shifted ? shortLoads : longLoads;
        double before = shifted ? heaviestByShort : heaviestByLong;
        double pressure = pace.urgency();
        // No map is better than one with the mean load on every rank.
        if (before - shape.sets() < LEAST_GAIN / pressure) {
            return;
        }
        ExpertPlacement planned = current;
        for (int set = 0; set < shape.sets(); set++) {
            planned = planned.withSet(
                    set,
                    ReplicaPlanner.plan(
                            shape,
                            byRank(current, set),
                            loads.ofSet(set, shape.expertsPerSet()),
                            rankPaces,
                            LEAST_GAIN_PER_COPY / pressure));
        }
        double after = heaviest(planned, loads, rankPaces);
        if (before - after < LEAST_GAIN / pressure) {
            return;
        }
        long version = passSwitch.newVersion(ThreadLocalRandom.current().nextInt());
        log.event("map change planned")
                .field("version", version)
                .field("copies", planned.copiesFrom(current))
                .field("heaviestBeforePercent", Math.round(before / shape.sets() * 100))
                .field("heaviestAfterPercent", Math.round(after / shape.sets() * 100))
                .field("shifted", shifted)
                .field("passMs", Math.round(pace.passMs()))
                .field("choices", Math.round(loads.total()))
                .write();
        passSwitch.begin(version, planned, nowMs);
    }

    /** Returns the load of the heaviest rank, in mean loads, summed over the sets. */
    private double heaviest(ExpertPlacement lists, ExpertLoads loads, double[] rankPaces) {
        return IntStream.range(0, shape.sets())
                .mapToDouble(set -> ReplicaPlanner.maxRankLoad(
                        shape, byRank(lists, set), loads.ofSet(set, shape.expertsPerSet()), rankPaces))
                .sum();
    }

    private double[] paces() {
        return IntStream.range(0, ranks)
                .mapToDouble(rank -> paces.getOrDefault(rank, 1.0))
                .toArray();
    }

    private static int[][] byRank(ExpertPlacement lists, int set) {
        return IntStream.range(0, lists.ranks())
                .mapToObj(rank -> lists.experts(set, rank))
                .toArray(int[][]::new);
    }
}
