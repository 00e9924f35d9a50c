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
 * Plans map changes of a group and drives them with {@link MapSwitchProtocol}. The instance at rank 0 does so; the
 * instance at rank 1 only releases a hold when the agent of rank 0 has failed.
 */
final class MapCoordinator {

    /** Half-life of the load estimate used while popularity is stable; a shorter one would follow single requests. */
    private static final double LONG_HALF_LIFE_MS = 2_000;

    /**
     * Half-life of the load estimate used after a shift of popularity, which on the worst days occurs every few
     * seconds.
     */
    private static final double SHORT_HALF_LIFE_MS = 500;

    /** Difference of the maximum rank loads by the two estimates, in mean loads per set, that indicates a shift. */
    private static final double MIN_SHIFT = 0.2;

    /** Minimum time between two plans; a plan takes some milliseconds on a small processor. */
    private static final long PLAN_INTERVAL_MS = 200;

    /** Minimum reduction of the maximum rank load, in mean loads, that justifies the copy of one expert. */
    private static final double MIN_GAIN_PER_COPY = 0.015;

    /** Minimum reduction of the maximum rank load, in mean loads summed over the sets, that justifies a map change. */
    private static final double MIN_GAIN = 0.3;

    /** Pass duration that is still well below the longest pause that callers accept. */
    private static final double RELAXED_PASS_MS = 50;

    /** Pass duration that comes close to the longest accepted pause when a long prompt is read. */
    private static final double CRITICAL_PASS_MS = 80;

    /** Minimum urgency of a better map, so that a very uneven map is also replaced while passes are short. */
    private static final double MIN_URGENCY = 0.15;

    /** Number of recent choices below which loads are unreliable; a request of usual size makes some ten thousand. */
    private static final double MIN_CHOICES = 500_000;

    /**
     * Silence after which the engine of a rank is called directly. It exceeds the report interval of idle ranks, since
     * calls to other VMs are charged.
     */
    private static final long SILENCE_TIMEOUT_MS = 260;

    /**
     * Silence of rank 0 after which rank 1 releases its hold; longer than the gap due to a single lost or late message.
     */
    private static final long HOLD_RECOVERY_TIMEOUT_MS = 300;

    private final int ranks;
    private final int ownRank;
    private final GroupShape shape;
    private final DecisionLog log;
    private final ProcessMetrics metrics;
    private final MapSwitchProtocol protocol;
    private final ExpertLoads longLoads = new ExpertLoads(LONG_HALF_LIFE_MS);
    private final ExpertLoads shortLoads = new ExpertLoads(SHORT_HALF_LIFE_MS);
    private final SortedMap<Integer, RankExperts> heldExperts = new TreeMap<>();
    private @Nullable ExpertPlacement cachedPlacement;
    private long cachedEpoch;
    private long cachedVersion;
    private final Map<Integer, Double> slowdowns = new HashMap<>();
    private final Map<Integer, Long> lastReportMs = new HashMap<>();
    private final PassDurationEstimator passDuration =
            new PassDurationEstimator(RELAXED_PASS_MS, CRITICAL_PASS_MS, MIN_URGENCY);
    private long lastPlanMs = Long.MIN_VALUE / 2;
    private long changeStartedMs;
    private MapSwitchProtocol.Phase loggedPhase = MapSwitchProtocol.Phase.IDLE;

    MapCoordinator(int ranks, int ownRank, GroupShape shape, DecisionLog log, ProcessMetrics metrics) {
        this.ranks = ranks;
        this.ownRank = ownRank;
        this.shape = shape;
        this.log = log;
        this.metrics = metrics;
        this.protocol = new MapSwitchProtocol(ranks, ownRank);
    }

    boolean changeInProgress() {
        return protocol.phase() != MapSwitchProtocol.Phase.IDLE;
    }

    void onState(RankState state, double slowdown) {
        slowdowns.put(state.rank(), Math.max(1.0, slowdown));
        protocol.onState(state);
        lastReportMs.put(state.rank(), state.reportedMs());
        if (state.rank() == 0) {
            passDuration.onStep(state.step(), state.reportedMs());
        }
    }

    /** Records the experts that a rank holds with the map in use. */
    void onHeldExperts(int rank, RankExperts experts) {
        heldExperts.put(rank, experts);
        cachedPlacement = null;
    }

    /** Tells whether a rank still needs an order to reach the desired state, or its state is unknown. */
    boolean pending(int rank, DesiredRankState desired) {
        return protocol.state(rank)
                .map(state -> EngineOrder.next(state, desired).isPresent())
                .orElse(true);
    }

    /** Records a state that was read directly from the engine of a silent rank. */
    void onRemoteState(RankState state) {
        protocol.onState(state);
    }

    /** Tells whether a desired state applies to a rank now; rank 1 is armed after the others, and rank 0 last. */
    boolean appliesTo(DesiredRankState desired, int rank, long nowMs) {
        return !(desired instanceof DesiredRankState.Armed) || protocol.mayArm(rank, nowMs);
    }

    /** Begins to release the hold of the coordinator if it has been silent for too long. */
    void recoverAbandonedHold(long nowMs) {
        if (ownRank == MapSwitchProtocol.HOLD_RANK
                && nowMs - lastReportMs.getOrDefault(0, nowMs) > HOLD_RECOVERY_TIMEOUT_MS
                && protocol.beginHoldRecovery(nowMs)) {
            log.event("releasing the hold of a silent coordinator")
                    .field("silentMs", nowMs - lastReportMs.getOrDefault(0, nowMs))
                    .write();
        }
    }

    /** Returns the ranks whose agents have been silent for so long that this agent calls their engines directly. */
    List<Integer> silentRanks(long nowMs) {
        if (!changeInProgress()) {
            return List.of();
        }
        return IntStream.range(0, ranks)
                .filter(rank -> rank != ownRank
                        && nowMs - Math.max(changeStartedMs, lastReportMs.getOrDefault(rank, 0L)) > SILENCE_TIMEOUT_MS)
                .boxed()
                .toList();
    }

    void onChoices(ChoiceSample sample, long nowMs) {
        longLoads.onSample(sample, nowMs);
        shortLoads.onSample(sample, nowMs);
    }

    void onHold(long step, boolean accepted, long nowMs) {
        protocol.onHold(step, accepted, nowMs);
    }

    void onRelease(long step, boolean accepted, long nowMs) {
        protocol.onRelease(step, accepted, nowMs);
    }

    /** Plans a map change if one is due, and returns the next actions; {@code own} is the state of the own rank. */
    List<SwitchAction> nextActions(RankState own, long nowMs) {
        Optional<ExpertPlacement> current = currentPlacement(own);
        if (ownRank == 0 && current.isPresent() && nowMs - lastPlanMs >= PLAN_INTERVAL_MS && protocol.mayBegin(nowMs)) {
            lastPlanMs = nowMs;
            plan(current.get(), nowMs);
        }
        List<SwitchAction> actions =
                protocol.nextActions(current, ThreadLocalRandom.current().nextInt(), nowMs);
        if (protocol.phase() != loggedPhase) {
            if (loggedPhase == MapSwitchProtocol.Phase.IDLE) {
                changeStartedMs = nowMs;
            }
            loggedPhase = protocol.phase();
            metrics.count("map_change_" + loggedPhase.name().toLowerCase(Locale.ROOT));
            if (loggedPhase == MapSwitchProtocol.Phase.IDLE) {
                metrics.time("map_change_ms", nowMs - changeStartedMs);
            }
            log.event("map change phase")
                    .field("phase", loggedPhase.name())
                    .field("step", own.step())
                    .field("map", own.mapVersion())
                    .write();
        }
        return actions;
    }

    private Optional<ExpertPlacement> currentPlacement(RankState own) {
        if (cachedPlacement == null || cachedEpoch != own.epoch() || cachedVersion != own.mapVersion()) {
            List<int[][]> reportedExperts = heldExperts.values().stream()
                    .filter(experts -> experts.matches(own.epoch(), own.mapVersion()))
                    .map(RankExperts::bySet)
                    .toList();
            cachedPlacement = reportedExperts.size() == ranks ? ExpertPlacement.ofRanks(reportedExperts) : null;
            cachedEpoch = own.epoch();
            cachedVersion = own.mapVersion();
        }
        return Optional.ofNullable(cachedPlacement);
    }

    private void plan(ExpertPlacement current, long nowMs) {
        if (shortLoads.total() < MIN_CHOICES || current.sets() != shape.sets()) {
            return;
        }
        double[] rankSlowdowns = rankSlowdowns();
        double maxLoadByShort = summedMaxLoad(current, shortLoads, rankSlowdowns);
        double maxLoadByLong = summedMaxLoad(current, longLoads, rankSlowdowns);
        boolean shifted = maxLoadByShort - maxLoadByLong > MIN_SHIFT * shape.sets();
        ExpertLoads loads = shifted ? shortLoads : longLoads;
        double maxLoadBefore = shifted ? maxLoadByShort : maxLoadByLong;
        double urgency = passDuration.urgency();
        // No map is better than one with the mean load on every rank, which bounds the possible gain.
        if (maxLoadBefore - shape.sets() < MIN_GAIN / urgency) {
            return;
        }
        ExpertPlacement planned = current;
        for (int set = 0; set < shape.sets(); set++) {
            planned = planned.withSet(
                    set,
                    ReplicaPlanner.plan(
                            shape,
                            expertsByRank(current, set),
                            loads.ofSet(set, shape.expertsPerSet()),
                            rankSlowdowns,
                            MIN_GAIN_PER_COPY / urgency));
        }
        double maxLoadAfter = summedMaxLoad(planned, loads, rankSlowdowns);
        if (maxLoadBefore - maxLoadAfter < MIN_GAIN / urgency) {
            return;
        }
        long version = protocol.newVersion(ThreadLocalRandom.current().nextInt());
        log.event("map change planned")
                .field("version", version)
                .field("copies", planned.copiesFrom(current))
                .field("heaviestBeforePercent", Math.round(maxLoadBefore / shape.sets() * 100))
                .field("heaviestAfterPercent", Math.round(maxLoadAfter / shape.sets() * 100))
                .field("shifted", shifted)
                .field("passMs", Math.round(passDuration.passMs()))
                .field("choices", Math.round(loads.total()))
                .write();
        protocol.begin(version, planned, nowMs);
    }

    /** Returns the load of the most loaded rank, in mean loads, summed over the sets. */
    private double summedMaxLoad(ExpertPlacement placement, ExpertLoads loads, double[] rankSlowdowns) {
        return IntStream.range(0, shape.sets())
                .mapToDouble(set -> ReplicaPlanner.maxRankLoad(
                        shape, expertsByRank(placement, set), loads.ofSet(set, shape.expertsPerSet()), rankSlowdowns))
                .sum();
    }

    private double[] rankSlowdowns() {
        return IntStream.range(0, ranks)
                .mapToDouble(rank -> slowdowns.getOrDefault(rank, 1.0))
                .toArray();
    }

    private static int[][] expertsByRank(ExpertPlacement placement, int set) {
        return IntStream.range(0, placement.ranks())
                .mapToObj(rank -> placement.experts(set, rank))
                .toArray(int[][]::new);
    }
}
