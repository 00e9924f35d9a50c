package org.kingcuproad.policy.lockstep;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * Plays demand on the placement decisions in virtual time. Ranks count choices at the end of a pass and send them at
 * intervals, planning takes processor time, copies take link time, and a map takes effect at a pass held in advance.
 */
final class SimulatedPlacement {

    private static final long TICK_MS = 10;

    /** Time from the end of the copies until rank 0 knows of them; agents report every 20 to 60 ms. */
    private static final long PREPARED_REPORT_MS = 50;

    /** Time from a switch until rank 0 knows the experts that the ranks hold. */
    private static final long HELD_EXPERTS_MS = 80;

    /** Three rounds of orders and reports. */
    private static final double ARMING_MS = 150;

    private static final long DETECTION_INTERVAL_MS = 50;
    private static final double INITIAL_SWITCH_MS = 350;
    private static final double SWITCH_WEIGHT = 0.3;

    /**
     * Durations outside the decisions.
     *
     * @param passMs duration of a pass
     * @param sampleIntervalMs time between two samples of a rank
     * @param planStepMs time of a planning step on the processor share of an agent
     */
    record Timing(long passMs, long sampleIntervalMs, double planStepMs) {}

    private final GroupShape shape;
    private final int ranks;
    private final SimulatedDemand demand;
    private final double requestsPerS;
    private final Timing timing;
    private final DemandEstimator estimator;
    private final HoldLead holdLead = new HoldLead(8);
    private final double[] even;
    private ExpertPlacement current;
    private ExpertPlacement next;
    private @Nullable MapChangePlanner planner;
    private double planningMs;
    private long planStartedMs;
    private long nextPlanMs;
    private double copyingUntilMs;
    private long switchStep;
    private long knownAtMs;
    private double switchMs = INITIAL_SWITCH_MS;
    private long step;
    private long nowMs;
    private long shiftedMs = Long.MAX_VALUE;
    private final List<Long> responsesMs = new ArrayList<>();
    private int changes;
    private double passTime;
    private double passTimeUnchanged;
    private double copyingMs;
    private double maxLoad;
    private double maxLoadUnchanged;

    SimulatedPlacement(GroupShape shape, int ranks, SimulatedDemand demand, double requestsPerS, Timing timing) {
        this.shape = shape;
        this.ranks = ranks;
        this.demand = demand;
        this.requestsPerS = requestsPerS;
        this.timing = timing;
        this.estimator = new DemandEstimator(shape);
        this.current = ExpertPlacement.initial(shape, ranks);
        this.next = current;
        this.even = new double[ranks];
        Arrays.fill(even, 1);
        holdLead.onPassDuration(timing.passMs());
        updateLoads();
    }

    int changes() {
        return changes;
    }

    /** Returns the times from a shift to the first map planned after it; shifts without an answer are left out. */
    List<Long> responsesMs() {
        return responsesMs;
    }

    /** Returns the mean of the maximum rank load, with the slowdown by copies, since the last reset. */
    double meanMaxLoad(double durationMs) {
        return passTime / durationMs;
    }

    /** Returns the same for the map with which the group started. */
    double meanMaxLoadUnchanged(double durationMs) {
        return passTimeUnchanged / durationMs;
    }

    double copyingMs() {
        return copyingMs;
    }

    void resetFigures() {
        changes = 0;
        passTime = 0;
        passTimeUnchanged = 0;
        copyingMs = 0;
        responsesMs.clear();
    }

    /** Exchanges the popularity of a share of the experts. */
    void shift(double share) {
        demand.shift(share);
        shiftedMs = nowMs;
        updateLoads();
    }

    void run(long durationMs) {
        for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs += TICK_MS) {
            tick();
        }
    }

    private void updateLoads() {
        maxLoad = demand.maxLoad(current);
        maxLoadUnchanged = demand.maxLoad(ExpertPlacement.initial(shape, ranks));
    }

    private void tick() {
        demand.arrive(requestsPerS * TICK_MS / 1_000.0);
        if (nowMs % timing.passMs() == 0) {
            beginPass();
        }
        for (int rank = 0; rank < ranks; rank++) {
            if ((nowMs + rank * TICK_MS) % timing.sampleIntervalMs() == 0) {
                demand.sample(rank).ifPresent(sample -> estimator.onSample(sample, nowMs));
            }
        }
        if (nowMs % DETECTION_INTERVAL_MS == 0 && estimator.recentTotal() > 0 && estimator.detectShift(nowMs)) {
            planner = null;
            nextPlanMs = nowMs;
        }
        boolean copying = nowMs < copyingUntilMs;
        passTime += TICK_MS * maxLoad * (copying ? 1.15 : 1);
        passTimeUnchanged += TICK_MS * maxLoadUnchanged;
        copyingMs += copying ? TICK_MS : 0;
        if (current == next && nowMs >= knownAtMs && estimator.recentTotal() > 0) {
            plan();
        } else if (current != next && switchStep == 0 && nowMs >= copyingUntilMs + PREPARED_REPORT_MS) {
            switchStep = step + holdLead.passes();
            holdLead.onArmed(ARMING_MS);
        }
    }

    private void beginPass() {
        demand.endPass();
        step++;
        if (step == switchStep) {
            switchStep = 0;
            current = next;
            updateLoads();
            switchMs += SWITCH_WEIGHT * (nowMs - copyingUntilMs - switchMs);
            knownAtMs = nowMs + HELD_EXPERTS_MS;
            if (planStartedMs >= shiftedMs) {
                responsesMs.add(nowMs - shiftedMs);
                shiftedMs = Long.MAX_VALUE;
            }
        }
    }

    private void plan() {
        if (planner == null) {
            if (nowMs >= nextPlanMs) {
                startPlan();
            }
            return;
        }
        planningMs += TICK_MS;
        while (planner != null && planningMs >= timing.planStepMs()) {
            planningMs -= timing.planStepMs();
            planner.advance().ifPresent(this::onDecision);
        }
    }

    private void startPlan() {
        planningMs = 0;
        planStartedMs = nowMs;
        planner = new MapChangePlanner(new PlanningInput(
                shape,
                current,
                IntStream.range(0, shape.sets())
                        .mapToObj(estimator::demandOfSet)
                        .toList(),
                even,
                1,
                switchMs,
                estimator.expectedLifetimeMs(nowMs)));
    }

    private void onDecision(MapChangeDecision decision) {
        planner = null;
        nextPlanMs = nowMs + Math.max(200, nowMs - planStartedMs);
        if (decision instanceof MapChangeDecision.Change change) {
            changes++;
            next = change.placement();
            copyingUntilMs = nowMs
                    + change.estimate().copiesOfBusiestRank() * shape.costs().copyMs();
        }
    }
}
