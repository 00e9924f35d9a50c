package org.kingcuproad.policy.lockstep;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a group changes its expert map, and to which one.
 *
 * <p>This answers demand that shifts every few seconds while an expert takes from a few milliseconds to half a second
 * to copy. A change saves time of passes from its switch until the pattern ends. It costs the time by which copying
 * slows down passes, the bytes moved, and the delay of an answer to a shift that comes meanwhile. Ranks copy side by
 * side, so what counts is the largest number of copies of one rank: where copies take long, plans with fewer copies a
 * rank are compared as well, and the rest follows with the next change. A gain that lies within the accuracy of the
 * estimated demand counts for nothing.
 *
 * <p>The work is done in steps, since a large group takes some hundred milliseconds on a small processor. Not
 * thread-safe.
 */
public final class MapChangePlanner {

    /** Fraction by which passes take longer while any rank copies experts. */
    private static final double COPY_SLOWDOWN = 0.15;

    /** Time of passes that moving one megabyte of experts may cost; the platform charges for bytes moved. */
    private static final double COST_MS_PER_MEGABYTE = 0.005;

    /** Time of passes that a change costs besides its copies, for example when an order is lost and passes wait. */
    private static final double CHANGE_COST_MS = 90;

    /** Fraction of an estimated gain that is counted on: the best of many plans for a rough estimate looks too good. */
    private static final double GAIN_CONFIDENCE = 0.6;

    /** Copying time of one rank below which plans with fewer copies a rank would not be ready noticeably sooner. */
    private static final double SHORT_COPYING_MS = 100;

    /** Factor from one number of copies a rank to the next that is compared. */
    private static final int COPY_LIMIT_FACTOR = 2;

    /** Fraction of a pattern's lifetime above which copying is not worth planning. */
    private static final double MAX_COPYING_FRACTION = 0.5;

    /** Minimum time of use that is assumed when the worth of a single copy is computed. */
    private static final double MIN_USE_MS = 300;

    private final PlanningInput input;
    private final GroupShape shape;
    private final int ranks;
    private final double[] maxLoadBefore;
    private final double[] accuracyFloor;
    private final List<Integer> copyLimits;
    private final CopyBudget budget;
    private List<SetSearch> searches = List.of();
    private int limitIndex;
    private MapChangeDecision.@Nullable Change best;

    /**
     * Creates a planner that has done no work yet.
     *
     * @param input what the decision is based on
     */
    public MapChangePlanner(PlanningInput input) {
        this.input = input;
        this.shape = input.shape();
        this.ranks = input.current().ranks();
        this.maxLoadBefore = IntStream.range(0, shape.sets())
                .mapToDouble(set -> maxLoad(input.current(), set))
                .toArray();
        this.accuracyFloor = IntStream.range(0, shape.sets())
                .mapToDouble(this::accuracyFloor)
                .toArray();
        this.copyLimits = copyLimits();
        this.budget = new CopyBudget(new int[ranks]);
        budget.setLimit(copyLimits.getFirst());
    }

    /**
     * Numbers of copies a rank that are compared, in ascending order: what can be copied in a short time, and multiples
     * of it up to what the group allows. Numbers whose copying would take most of the pattern's lifetime are left out.
     */
    private List<Integer> copyLimits() {
        double copyMs = shape.costs().copyMs();
        int allowed = shape.sets() * shape.maxNewExpertsPerChange();
        int limit = (int) Math.clamp(SHORT_COPYING_MS / Math.max(1e-9, copyMs), 1, allowed);
        List<Integer> limits = new ArrayList<>(List.of(limit));
        while (limit < allowed) {
            limit = Math.min(allowed, limit * COPY_LIMIT_FACTOR);
            if (limit * copyMs < MAX_COPYING_FRACTION * input.lifetimeMs()) {
                limits.add(limit);
            }
        }
        return limits;
    }

    /**
     * Returns the maximum rank load that can't be told from an even load: with the demand known only roughly, some rank
     * always seems to have more than the mean.
     */
    private double accuracyFloor(int set) {
        Demand demand = input.demand().get(set);
        int[] replicas = input.current().replicas(set, shape.expertsPerSet());
        double variance = IntStream.range(0, shape.expertsPerSet())
                .filter(expert -> replicas[expert] > 0)
                .mapToDouble(expert -> demand.variances()[expert] / replicas[expert])
                .sum();
        double scale = ranks / demand.total();
        double deviation = scale * Math.sqrt(variance / ranks);
        return 1 + deviation * Math.sqrt(2 * Math.log(ranks));
    }

    private double maxLoad(ExpertPlacement placement, int set) {
        return ReplicaPlanner.maxRankLoad(
                shape, placement.expertsByRank(set), input.demand().get(set).counts(), input.slowdowns());
    }

    /**
     * Does the next step of the work: finds one adjustment of one set, or applies the best one found.
     *
     * @return the decision, or empty if more steps are needed
     */
    public Optional<MapChangeDecision> advance() {
        if (searches.isEmpty()) {
            if (maxGainMs() < CHANGE_COST_MS) {
                return Optional.of(keep(MapChangeDecision.Reason.BALANCED, estimate(input.current())));
            }
            searches = startSearches();
        }
        SetSearch next = Collections.max(searches, Comparator.comparingDouble(SetSearch::gainPerCopy));
        if (next.outdated()) {
            next.update();
            return Optional.empty();
        }
        if (next.gainPerCopy() > 0) {
            next.advance();
            searches.forEach(search -> search.onBudgetUsed(budget));
            return Optional.empty();
        }
        boolean better = compareWithBest();
        limitIndex++;
        if (better && limitIndex < copyLimits.size()) {
            budget.setLimit(copyLimits.get(limitIndex));
            searches.forEach(SetSearch::onBudgetRaised);
            return Optional.empty();
        }
        return Optional.of(decide());
    }

    private MapChangeDecision decide() {
        MapChangeDecision.Change found = best;
        if (found == null) {
            return keep(MapChangeDecision.Reason.NOT_WORTH_ITS_COST, estimate(input.current()));
        }
        return found.estimate().netMs() > 0
                ? found
                : keep(MapChangeDecision.Reason.NOT_WORTH_ITS_COST, found.estimate());
    }

    private List<SetSearch> startSearches() {
        double minGainPerCopy = minGainPerCopy();
        return IntStream.range(0, shape.sets())
                .mapToObj(set -> new SetSearch(
                        new ReplicaPlanner(
                                shape,
                                input.current().expertsByRank(set),
                                input.demand().get(set).counts(),
                                input.slowdowns(),
                                budget),
                        accuracyFloor[set],
                        minGainPerCopy))
                .toList();
    }

    private static MapChangeDecision keep(MapChangeDecision.Reason reason, MapChangeEstimate estimate) {
        return new MapChangeDecision.Keep(reason, estimate);
    }

    /** Compares what the searches have found with the best change so far, and returns whether it is better. */
    private boolean compareWithBest() {
        ExpertPlacement candidate = input.current();
        for (int set = 0; set < shape.sets(); set++) {
            candidate = candidate.withSet(set, searches.get(set).best());
        }
        if (candidate.equals(input.current())) {
            return true;
        }
        MapChangeEstimate estimate = estimate(candidate);
        MapChangeDecision.Change previous = best;
        if (previous != null && estimate.netMs() <= previous.estimate().netMs()) {
            return false;
        }
        best = new MapChangeDecision.Change(candidate, estimate);
        return true;
    }

    /** Returns the reduction of one set's maximum load that makes up for the bytes of one copy. */
    private double minGainPerCopy() {
        double copyingMs = copyLimits.getFirst() * shape.costs().copyMs();
        double usedMs = Math.max(MIN_USE_MS, input.lifetimeMs() - input.switchMs() - copyingMs);
        double worthMsPerLoad = input.urgency() * relativeGain(1) * usedMs;
        return COST_MS_PER_MEGABYTE * shape.costs().megabytes() / worthMsPerLoad;
    }

    /** Returns the fraction by which passes get shorter if the maximum loads, summed over the sets, fall. */
    private double relativeGain(double summedReduction) {
        double share = shape.costs().workShare();
        double before = Arrays.stream(maxLoadBefore).sum() / shape.sets();
        return share * summedReduction / shape.sets() / (1 - share + share * before);
    }

    /**
     * Returns the expected delay of the answer to a shift that comes while the change is in progress, since only one
     * change can be.
     */
    private double blockingMs(double changeMs) {
        return changeMs / input.lifetimeMs() * changeMs / 2;
    }

    /** Returns the time that an even load would save, which no change can exceed. */
    private double maxGainMs() {
        double reduction = IntStream.range(0, shape.sets())
                .mapToDouble(set -> Math.max(0, maxLoadBefore[set] - accuracyFloor[set]))
                .sum();
        return input.urgency() * relativeGain(reduction) * Math.max(0, input.lifetimeMs() - input.switchMs());
    }

    private MapChangeEstimate estimate(ExpertPlacement candidate) {
        double[] maxLoadAfter = IntStream.range(0, shape.sets())
                .mapToDouble(set -> maxLoad(candidate, set))
                .toArray();
        double reduction = IntStream.range(0, shape.sets())
                .mapToDouble(set -> maxLoadBefore[set]
                        - Math.max(Math.min(accuracyFloor[set], maxLoadBefore[set]), maxLoadAfter[set]))
                .sum();
        int copies = candidate.copiesFrom(input.current());
        int copiesOfBusiestRank = candidate.maxCopiesPerRankFrom(input.current());
        double copyingMs = copiesOfBusiestRank * shape.costs().copyMs();
        double usedMs = Math.max(0, input.lifetimeMs() - input.switchMs() - copyingMs);
        return new MapChangeEstimate(
                copies,
                copiesOfBusiestRank,
                Arrays.stream(maxLoadBefore).sum() / shape.sets(),
                Arrays.stream(maxLoadAfter).sum() / shape.sets(),
                GAIN_CONFIDENCE * input.urgency() * relativeGain(reduction) * usedMs,
                input.urgency() * (COPY_SLOWDOWN * copyingMs + blockingMs(input.switchMs() + copyingMs))
                        + copies * COST_MS_PER_MEGABYTE * shape.costs().megabytes()
                        + CHANGE_COST_MS);
    }
}
