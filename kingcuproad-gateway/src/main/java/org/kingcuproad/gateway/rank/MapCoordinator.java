package org.kingcuproad.gateway.rank;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.gateway.ProcessMetrics;
import org.kingcuproad.policy.lockstep.ChoiceSample;
import org.kingcuproad.policy.lockstep.DemandEstimator;
import org.kingcuproad.policy.lockstep.DesiredRankState;
import org.kingcuproad.policy.lockstep.EngineOrder;
import org.kingcuproad.policy.lockstep.ExpertPlacement;
import org.kingcuproad.policy.lockstep.GroupShape;
import org.kingcuproad.policy.lockstep.MapChangeDecision;
import org.kingcuproad.policy.lockstep.MapChangeEstimate;
import org.kingcuproad.policy.lockstep.MapChangePlanner;
import org.kingcuproad.policy.lockstep.MapDelta;
import org.kingcuproad.policy.lockstep.MapSwitchProtocol;
import org.kingcuproad.policy.lockstep.PassDurationEstimator;
import org.kingcuproad.policy.lockstep.PlanningInput;
import org.kingcuproad.policy.lockstep.RankState;
import org.kingcuproad.policy.lockstep.SampleInterval;
import org.kingcuproad.policy.lockstep.SwitchAction;
import org.kingcuproad.runtime.log.DecisionLog;
import org.kingcuproad.runtime.log.LogEvent;

/**
 * Plans map changes of a group and drives them with {@link MapSwitchProtocol}. The instance at rank 0 does so; the
 * instance at rank 1 only releases a hold when the agent of rank 0 has failed.
 */
final class MapCoordinator {

    /** Minimum time between two plans; a plan takes some milliseconds on a small processor. */
    private static final long PLAN_INTERVAL_MS = 200;

    /** Minimum time between two checks for a shift of popularity, which read all counters. */
    private static final long DETECTION_INTERVAL_MS = 50;

    /** Steps of a plan between two rounds of messages; they take some milliseconds on a small processor. */
    private static final int PLAN_STEPS_PER_ROUND = 64;

    /** Multiple of the time that a plan takes after which the next one may begin; others need the processor too. */
    private static final long PLAN_PAUSE_FACTOR = 1;

    /** Fraction of the longest accepted pause up to which passes are far from late. */
    private static final double RELAXED_PAUSE_FRACTION = 5.0 / 12;

    /** Fraction of the longest accepted pause from which the next long prompt makes passes late. */
    private static final double CRITICAL_PAUSE_FRACTION = 8.0 / 12;

    /** Time from the last copy to the use of a map that is assumed before the first change. */
    private static final double INITIAL_SWITCH_MS = 350;

    /** Weight of a new sample of that time. */
    private static final double SWITCH_WEIGHT = 0.3;

    /** Age up to which a report shows that an agent works; idle agents report every 200 ms. */
    private static final long RELIABLE_AGE_MS = 1_000;

    /** Interval of log lines about maps that are kept; decisions come several times a second. */
    private static final long KEEP_LOG_INTERVAL_MS = 2_000;

    /** Minimum urgency of a better map, so that a very uneven map is also replaced while passes are short. */
    private static final double MIN_URGENCY = 0.15;

    /** Number of recent choices below which loads are unreliable; a request of usual size makes some ten thousand. */
    private static final double MIN_CHOICES = 200_000;

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
    private final DemandEstimator demand;
    private final SortedMap<Integer, RankExperts> heldExperts = new TreeMap<>();
    private @Nullable ExpertPlacement cachedPlacement;
    private long cachedEpoch;
    private long cachedVersion;
    private final Map<Integer, Double> slowdowns = new HashMap<>();
    private final Map<Integer, Long> lastReportMs = new HashMap<>();
    private final PassDurationEstimator passDuration;
    private @Nullable MapChangePlanner planner;
    private @Nullable ExpertPlacement plannedFrom;
    private long planStartedMs;
    private long nextPlanMs = Long.MIN_VALUE / 2;
    private long nextDetectionMs = Long.MIN_VALUE / 2;
    private long changeStartedMs;
    private long copiesEndedMs;
    private double switchMs = INITIAL_SWITCH_MS;
    private long lastKeepLoggedMs = Long.MIN_VALUE / 2;
    private MapSwitchProtocol.Phase loggedPhase = MapSwitchProtocol.Phase.IDLE;

    MapCoordinator(int ranks, int ownRank, GroupShape shape, long maxPauseMs, DecisionLog log, ProcessMetrics metrics) {
        this.ranks = ranks;
        this.ownRank = ownRank;
        this.shape = shape;
        this.log = log;
        this.metrics = metrics;
        this.protocol = new MapSwitchProtocol(ranks, ownRank);
        this.demand = new DemandEstimator(shape);
        this.passDuration = new PassDurationEstimator(
                RELAXED_PAUSE_FRACTION * maxPauseMs, CRITICAL_PAUSE_FRACTION * maxPauseMs, MIN_URGENCY);
    }

    /** Returns whether a plan is in progress, so that the next step should follow soon. */
    boolean planning() {
        return planner != null;
    }

    /** Returns a desired state's map as the difference from the map in use, which the ranks know. */
    Optional<MapDelta> deltaTo(DesiredRankState desired) {
        ExpertPlacement base = cachedPlacement;
        if (base == null) {
            return Optional.empty();
        }
        return switch (desired) {
            case DesiredRankState.Prepared prepared ->
                Optional.of(MapDelta.between(cachedVersion, base, prepared.map()));
            case DesiredRankState.Cleared cleared -> Optional.of(MapDelta.between(cachedVersion, base, cleared.map()));
            case DesiredRankState.Armed armed -> Optional.empty();
        };
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
            protocol.onPassDuration(passDuration.passMs());
        }
    }

    /** Records the experts that a rank holds with the map in use. */
    void onHeldExperts(int rank, RankExperts experts) {
        RankExperts previous = heldExperts.put(rank, experts);
        if (previous == null || !previous.matches(experts.epoch(), experts.mapVersion())) {
            cachedPlacement = null;
        }
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

    /**
     * Returns the agents that sum the samples of others for rank 0. They are chosen among those that report regularly,
     * in the order of their ranks, so that the selection seldom changes.
     */
    List<InetSocketAddress> collectors(Map<Integer, InetSocketAddress> agentsByRank, long nowMs) {
        if (ownRank != 0) {
            return List.of();
        }
        return IntStream.range(MapSwitchProtocol.HOLD_RANK + 1, ranks)
                .filter(rank -> nowMs - lastReportMs.getOrDefault(rank, Long.MIN_VALUE / 2) <= RELIABLE_AGE_MS)
                .mapToObj(agentsByRank::get)
                .filter(Objects::nonNull)
                .limit(SampleInterval.collectors(ranks))
                .toList();
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
        demand.onSample(sample, nowMs);
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
        detectShift(nowMs);
        if (ownRank == 0 && current.isPresent()) {
            plan(current.get(), nowMs);
        }
        List<SwitchAction> actions =
                protocol.nextActions(current, ThreadLocalRandom.current().nextInt(), nowMs);
        if (protocol.phase() != loggedPhase) {
            onPhase(protocol.phase(), own, nowMs);
        }
        return actions;
    }

    private void onPhase(MapSwitchProtocol.Phase phase, RankState own, long nowMs) {
        if (loggedPhase == MapSwitchProtocol.Phase.IDLE) {
            changeStartedMs = nowMs;
        }
        if (phase == MapSwitchProtocol.Phase.HOLDING) {
            copiesEndedMs = nowMs;
        }
        if (phase == MapSwitchProtocol.Phase.IDLE) {
            metrics.time("map_change_ms", nowMs - changeStartedMs);
            if (copiesEndedMs > changeStartedMs) {
                switchMs += SWITCH_WEIGHT * (nowMs - copiesEndedMs - switchMs);
            }
        }
        loggedPhase = phase;
        metrics.count("map_change_" + phase.name().toLowerCase(Locale.ROOT));
        log.event("map change phase")
                .field("phase", phase.name())
                .field("step", own.step())
                .field("map", own.mapVersion())
                .write();
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

    /** Looks for a shift, also while a plan or a change is in progress; a plan for the old pattern is given up. */
    private void detectShift(long nowMs) {
        if (ownRank != 0 || nowMs < nextDetectionMs || demand.recentTotal() < MIN_CHOICES) {
            return;
        }
        nextDetectionMs = nowMs + DETECTION_INTERVAL_MS;
        if (demand.detectShift(nowMs)) {
            planner = null;
            nextPlanMs = nowMs;
            metrics.count("demand_shifted");
            log.event("demand shifted")
                    .field("lifetimeMs", demand.expectedLifetimeMs(nowMs))
                    .write();
        }
    }

    /** Starts a plan if one is due, or does the next step of the one in progress. */
    private void plan(ExpertPlacement current, long nowMs) {
        MapChangePlanner inProgress = planner;
        if (inProgress == null) {
            if (nowMs >= nextPlanMs && protocol.mayBegin(nowMs)) {
                startPlan(current, nowMs);
            }
            return;
        }
        Optional<MapChangeDecision> found = inProgress.advance();
        for (int step = 1; step < PLAN_STEPS_PER_ROUND && found.isEmpty(); step++) {
            found = inProgress.advance();
        }
        found.ifPresent(decision -> {
            planner = null;
            nextPlanMs = nowMs + Math.max(PLAN_INTERVAL_MS, PLAN_PAUSE_FACTOR * (nowMs - planStartedMs));
            ExpertPlacement base = plannedFrom;
            if (base != null && base.equals(current)) {
                onDecision(decision, nowMs);
            }
        });
    }

    private void startPlan(ExpertPlacement current, long nowMs) {
        if (demand.recentTotal() < MIN_CHOICES || current.sets() != shape.sets()) {
            nextPlanMs = nowMs + PLAN_INTERVAL_MS;
            return;
        }
        planStartedMs = nowMs;
        plannedFrom = current;
        planner = new MapChangePlanner(new PlanningInput(
                shape,
                current,
                IntStream.range(0, shape.sets()).mapToObj(demand::demandOfSet).toList(),
                rankSlowdowns(),
                passDuration.urgency(),
                switchMs,
                demand.expectedLifetimeMs(nowMs)));
    }

    private void onDecision(MapChangeDecision decision, long nowMs) {
        switch (decision) {
            case MapChangeDecision.Change change -> {
                if (!protocol.mayBegin(nowMs)) {
                    // The ranks are usually ready again soon, and the demand that called for the change persists.
                    nextPlanMs = nowMs + PLAN_INTERVAL_MS;
                    logDecision("map change dropped", change.estimate(), nowMs).write();
                } else {
                    long version =
                            protocol.newVersion(ThreadLocalRandom.current().nextInt());
                    logDecision("map change planned", change.estimate(), nowMs)
                            .field("version", version)
                            .write();
                    protocol.begin(version, change.placement(), nowMs);
                }
            }
            case MapChangeDecision.Keep keep -> {
                metrics.count("map_kept_" + keep.reason().name().toLowerCase(Locale.ROOT));
                if (nowMs - lastKeepLoggedMs >= KEEP_LOG_INTERVAL_MS) {
                    lastKeepLoggedMs = nowMs;
                    logDecision("map kept", keep.estimate(), nowMs)
                            .field("reason", keep.reason().name())
                            .write();
                }
            }
        }
    }

    private LogEvent logDecision(String event, MapChangeEstimate estimate, long nowMs) {
        return log.event(event)
                .field("copies", estimate.copies())
                .field("copiesOfBusiestRank", estimate.copiesOfBusiestRank())
                .field("heaviestBeforePercent", Math.round(estimate.maxLoadBefore() * 100))
                .field("heaviestAfterPercent", Math.round(estimate.maxLoadAfter() * 100))
                .field("gainMs", Math.round(estimate.gainMs()))
                .field("costMs", Math.round(estimate.costMs()))
                .field("lifetimeMs", demand.expectedLifetimeMs(nowMs))
                .field("switchMs", Math.round(switchMs))
                .field("passMs", Math.round(passDuration.passMs()))
                .field("planMs", nowMs - planStartedMs);
    }

    private double[] rankSlowdowns() {
        return IntStream.range(0, ranks)
                .mapToDouble(rank -> slowdowns.getOrDefault(rank, 1.0))
                .toArray();
    }
}
