package org.kingcuproad.policy.lockstep;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * Plans which ranks hold which experts of a layer set.
 *
 * <p>A pass takes as long as its most loaded rank needs. The planner is a greedy local search that takes load off the
 * most loaded ranks, one adjustment at a time: it adds a replica, moves an expert, or swaps two experts. A new replica
 * goes into a free slot or replaces an expert that has several replicas. The result is the assignment whose reduction
 * of the maximum load, less the cost of its copies, is greatest; the search ends when further adjustments don't improve
 * on it.
 */
public final class ReplicaPlanner {

    /** Number of most loaded ranks that are considered as the source of an adjustment. */
    private static final int MAX_SOURCE_RANKS = 2;

    /** Number of least loaded ranks that are considered as targets; others would soon become the most loaded. */
    private static final int MAX_TARGET_RANKS = 12;

    /** Adjustments of one set per rank: enough for a replica on each rank and as many moves, with a margin. */
    private static final int MAX_ADJUSTMENTS_PER_RANK = 4;

    /**
     * Consecutive adjustments without a better plan after which the search ends, since further ones only add copies.
     */
    private static final int MAX_ADJUSTMENTS_WITHOUT_GAIN = 10;

    /** Relative reduction of the potential below which an adjustment is attributed to rounding errors. */
    private static final double MIN_RELATIVE_GAIN = 1e-9;

    private final GroupShape shape;
    private final CopyBudget budget;
    private final int ranks;
    private final double[] expertLoad;
    private final double[] slowdowns;
    private final boolean[][] holds;
    private final boolean[][] initiallyHolds;
    private final int[][] ranksHolding;
    private final int[] replicaCount;
    private final int[] usedSlots;
    private final int[] newExperts;
    private final double[] rankLoad;
    private final double[] loadDelta;
    private final int[] affectedRanks;
    private int affectedCount;

    /**
     * Creates a search that starts from the current assignment of one set.
     *
     * @param shape dimensions of the group
     * @param expertsByRank current experts of the set by rank
     * @param counts how often each expert of the set was chosen recently
     * @param slowdowns factor by which each rank takes longer than usual for the same work
     * @param budget copies that the ranks may make, shared with the searches of other sets
     */
    ReplicaPlanner(GroupShape shape, int[][] expertsByRank, double[] counts, double[] slowdowns, CopyBudget budget) {
        this.slowdowns = slowdowns;
        this.shape = shape;
        this.budget = budget;
        this.ranks = expertsByRank.length;
        this.expertLoad = normalised(counts, expertsByRank.length);
        this.holds = new boolean[ranks][shape.expertsPerSet()];
        this.replicaCount = new int[shape.expertsPerSet()];
        this.ranksHolding = new int[shape.expertsPerSet()][0];
        this.usedSlots = new int[ranks];
        this.newExperts = new int[ranks];
        this.initiallyHolds = new boolean[ranks][shape.expertsPerSet()];
        for (int rank = 0; rank < ranks; rank++) {
            for (int expert : expertsByRank[rank]) {
                initiallyHolds[rank][expert] = true;
                add(rank, expert);
            }
        }
        this.rankLoad = computeRankLoads();
        this.loadDelta = new double[ranks];
        this.affectedRanks = new int[ranks];
    }

    /**
     * Plans the assignment of one set.
     *
     * @param shape dimensions of the group
     * @param expertsByRank current experts of the set by rank
     * @param counts how often each expert of the set was chosen recently
     * @param slowdowns factor by which each rank takes longer than usual for the same work
     * @param minGainPerCopy minimum reduction of the maximum rank load that justifies a copy; 1 is the mean load
     * @return planned experts of the set by rank
     */
    public static int[][] plan(
            GroupShape shape, int[][] expertsByRank, double[] counts, double[] slowdowns, double minGainPerCopy) {
        int[] unlimited = new int[expertsByRank.length];
        Arrays.fill(unlimited, shape.maxNewExpertsPerChange());
        return plan(shape, expertsByRank, counts, slowdowns, new Limits(minGainPerCopy, unlimited, 0));
    }

    /**
     * Limits of a plan.
     *
     * @param minGainPerCopy minimum reduction of the maximum rank load that justifies a copy; 1 is the mean load
     * @param copyBudgets maximum number of new experts by rank, besides the limit of the group
     * @param targetMaxLoad maximum rank load below which a reduction is of no use
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Limits(double minGainPerCopy, int[] copyBudgets, double targetMaxLoad) {}

    /**
     * Plans the assignment of one set within limits.
     *
     * @param shape dimensions of the group
     * @param expertsByRank current experts of the set by rank
     * @param counts how often each expert of the set was chosen recently
     * @param slowdowns factor by which each rank takes longer than usual for the same work
     * @param limits limits of the plan
     * @return planned experts of the set by rank
     */
    public static int[][] plan(
            GroupShape shape, int[][] expertsByRank, double[] counts, double[] slowdowns, Limits limits) {
        ReplicaPlanner planner =
                new ReplicaPlanner(shape, expertsByRank, counts, slowdowns, new CopyBudget(limits.copyBudgets));
        int[][] best = expertsByRank;
        double initialMaxLoad = planner.maxLoad();
        double bestNetGain = 0;
        int adjustmentsSinceBest = 0;
        int maxAdjustments = MAX_ADJUSTMENTS_PER_RANK * expertsByRank.length;
        for (int adjustment = 0;
                adjustment < maxAdjustments
                        && adjustmentsSinceBest < MAX_ADJUSTMENTS_WITHOUT_GAIN
                        && planner.maxLoad() > limits.targetMaxLoad
                        && planner.applyBestAdjustment();
                adjustment++) {
            double netGain = initialMaxLoad
                    - Math.max(limits.targetMaxLoad, planner.maxLoad())
                    - limits.minGainPerCopy * planner.countCopies();
            adjustmentsSinceBest++;
            if (netGain > bestNetGain) {
                bestNetGain = netGain;
                best = planner.currentAssignment();
                adjustmentsSinceBest = 0;
            }
        }
        return best;
    }

    /**
     * Returns the load of the most loaded rank.
     *
     * @param shape dimensions of the group
     * @param expertsByRank experts of the set by rank
     * @param counts how often each expert of the set was chosen recently
     * @param slowdowns factor by which each rank takes longer than usual for the same work
     * @return the load; 1 is the mean over all ranks
     */
    public static double maxRankLoad(GroupShape shape, int[][] expertsByRank, double[] counts, double[] slowdowns) {
        return Arrays.stream(rankLoads(shape, expertsByRank, counts, slowdowns))
                .max()
                .orElse(0);
    }

    /**
     * Returns the loads of all ranks.
     *
     * @param shape dimensions of the group
     * @param expertsByRank experts of the set by rank
     * @param counts how often each expert of the set was chosen recently
     * @param slowdowns factor by which each rank takes longer than usual for the same work
     * @return the loads by rank; 1 is the mean over all ranks
     */
    public static double[] rankLoads(GroupShape shape, int[][] expertsByRank, double[] counts, double[] slowdowns) {
        int[] replicas = new int[shape.expertsPerSet()];
        Arrays.stream(expertsByRank).flatMapToInt(Arrays::stream).forEach(expert -> replicas[expert]++);
        double[] expertLoad = normalised(counts, expertsByRank.length);
        return IntStream.range(0, expertsByRank.length)
                .mapToDouble(rank -> slowdowns[rank]
                        * Arrays.stream(expertsByRank[rank])
                                .mapToDouble(expert -> expertLoad[expert] / replicas[expert])
                                .sum())
                .toArray();
    }

    private static double[] normalised(double[] counts, int ranks) {
        double mean = Arrays.stream(counts).sum() / ranks;
        return mean == 0
                ? counts.clone()
                : Arrays.stream(counts).map(count -> count / mean).toArray();
    }

    private double[] computeRankLoads() {
        double[] loads = new double[ranks];
        for (int rank = 0; rank < ranks; rank++) {
            for (int expert = 0; expert < shape.expertsPerSet(); expert++) {
                if (holds[rank][expert]) {
                    loads[rank] += slowdowns[rank] * expertLoad[expert] / replicaCount[expert];
                }
            }
        }
        return loads;
    }

    /** Returns the load of the most loaded rank; 1 is the mean. */
    double maxLoad() {
        return Arrays.stream(rankLoad).max().orElse(0);
    }

    /** Returns the number of experts that ranks need to copy. */
    int countCopies() {
        int copies = 0;
        for (int rank = 0; rank < ranks; rank++) {
            for (int expert = 0; expert < shape.expertsPerSet(); expert++) {
                copies += holds[rank][expert] && !initiallyHolds[rank][expert] ? 1 : 0;
            }
        }
        return copies;
    }

    /** Returns the experts by rank, with the adjustments applied so far. */
    int[][] currentAssignment() {
        int[][] expertsByRank = new int[ranks][];
        for (int rank = 0; rank < ranks; rank++) {
            int index = 0;
            int[] experts = new int[usedSlots[rank]];
            for (int expert = 0; expert < shape.expertsPerSet(); expert++) {
                if (holds[rank][expert]) {
                    experts[index++] = expert;
                }
            }
            expertsByRank[rank] = experts;
        }
        return expertsByRank;
    }

    private boolean applyBestAdjustment() {
        Adjustment best = bestAdjustment();
        if (best != null) {
            apply(best);
        }
        return best != null;
    }

    /** Returns the adjustment that improves the balance most, or null if none within the budget improves it. */
    @Nullable
    Adjustment bestAdjustment() {
        int[] ranksByLoad = IntStream.range(0, ranks)
                .boxed()
                .sorted(Comparator.comparingDouble(rank -> -rankLoad[rank]))
                .mapToInt(Integer::intValue)
                .toArray();
        int[] targets = Arrays.copyOfRange(ranksByLoad, Math.max(0, ranks - MAX_TARGET_RANKS), ranks);
        Adjustment best = null;
        double bestPotentialDelta = -potential() * MIN_RELATIVE_GAIN;
        for (int from : Arrays.copyOf(ranksByLoad, Math.min(MAX_SOURCE_RANKS, ranks))) {
            for (int expert = 0; expert < shape.expertsPerSet(); expert++) {
                if (!holds[from][expert]) {
                    continue;
                }
                for (int to : targets) {
                    if (to != from && !holds[to][expert]) {
                        Adjustment candidate = bestAdjustment(from, expert, to, bestPotentialDelta);
                        if (candidate != null) {
                            best = candidate;
                            bestPotentialDelta = candidate.potentialDelta;
                        }
                    }
                }
            }
        }
        return best;
    }

    /**
     * Returns by how much an adjustment lowers the norm of the rank loads, a smooth measure of the maximum load that is
     * comparable between sets, for each expert to be copied.
     */
    double gainPerCopy(Adjustment adjustment) {
        double potential = potential();
        double gain = eighthRoot(potential) - eighthRoot(potential + adjustment.potentialDelta);
        return adjustment.isSwap() ? gain / 2 : gain;
    }

    private static double eighthRoot(double value) {
        return Math.sqrt(Math.sqrt(Math.sqrt(value)));
    }

    /** How an adjustment assigns an expert to another rank. */
    enum AdjustmentKind {
        /** The source rank keeps its replica. */
        REPLICATED,
        /** The source rank gives up its replica. */
        MOVED,
        /** The source rank receives the evicted expert of the target rank instead. */
        SWAPPED
    }

    /**
     * Assignment of an expert to another rank.
     *
     * @param evicted expert that leaves the target rank, or -1 if none does
     * @param potentialDelta change of the potential; negative if the adjustment improves the balance
     */
    record Adjustment(int from, int expert, int to, AdjustmentKind kind, int evicted, double potentialDelta) {

        boolean keepsSource() {
            return kind == AdjustmentKind.REPLICATED;
        }

        boolean isSwap() {
            return kind == AdjustmentKind.SWAPPED;
        }
    }

    private @Nullable Adjustment bestAdjustment(int from, int expert, int to, double upperBound) {
        if (!initiallyHolds[to][expert] && !mayCopy(to)) {
            return null;
        }
        Adjustment best = null;
        double lowestDelta = upperBound;
        boolean hasFreeSlot = usedSlots[to] < shape.slotsPerRank();
        for (int evicted = hasFreeSlot ? -1 : 0; evicted < shape.expertsPerSet(); evicted++) {
            if (evicted >= 0 && (!holds[to][evicted] || evicted == expert)) {
                continue;
            }
            for (AdjustmentKind kind : AdjustmentKind.values()) {
                Adjustment adjustment = new Adjustment(from, expert, to, kind, evicted, 0);
                double potentialDelta = isValid(adjustment) ? potentialDelta(adjustment) : Double.MAX_VALUE;
                if (potentialDelta < lowestDelta) {
                    lowestDelta = potentialDelta;
                    best = new Adjustment(from, expert, to, kind, evicted, potentialDelta);
                }
            }
        }
        return best;
    }

    private boolean isValid(Adjustment adjustment) {
        if (!adjustment.isSwap()) {
            return adjustment.evicted < 0 || replicaCount[adjustment.evicted] > 1;
        }
        return adjustment.evicted >= 0
                && !holds[adjustment.from][adjustment.evicted]
                && (initiallyHolds[adjustment.from][adjustment.evicted] || mayCopy(adjustment.from));
    }

    private boolean mayCopy(int rank) {
        return newExperts[rank] < shape.maxNewExpertsPerChange() && budget.remaining(rank) > 0;
    }

    /** Returns the change of the potential due to an adjustment, computed from the affected ranks only. */
    private double potentialDelta(Adjustment adjustment) {
        computeLoadDeltas(adjustment);
        double potentialDelta = 0;
        for (int index = 0; index < affectedCount; index++) {
            double before = rankLoad[affectedRanks[index]];
            potentialDelta += eighthPower(before + loadDelta[index]) - eighthPower(before);
        }
        return potentialDelta;
    }

    /** Computes the load change of each rank that an adjustment affects. */
    private void computeLoadDeltas(Adjustment adjustment) {
        affectedCount = 0;
        double sharePerReplica = expertLoad[adjustment.expert] / replicaCount[adjustment.expert];
        if (adjustment.keepsSource()) {
            double shareAfter = expertLoad[adjustment.expert] / (replicaCount[adjustment.expert] + 1);
            addLoadDeltaToHolders(adjustment.expert, shareAfter - sharePerReplica);
            addLoadDelta(adjustment.to, shareAfter);
        } else {
            addLoadDelta(adjustment.from, -sharePerReplica);
            addLoadDelta(adjustment.to, sharePerReplica);
        }
        if (adjustment.evicted >= 0) {
            double evictedShare = expertLoad[adjustment.evicted] / replicaCount[adjustment.evicted];
            addLoadDelta(adjustment.to, -evictedShare);
            if (adjustment.isSwap()) {
                addLoadDelta(adjustment.from, evictedShare);
            } else {
                double evictedShareAfter = expertLoad[adjustment.evicted] / (replicaCount[adjustment.evicted] - 1);
                addLoadDeltaToHolders(adjustment.evicted, evictedShareAfter - evictedShare);
                addLoadDelta(adjustment.to, evictedShare - evictedShareAfter);
            }
        }
    }

    private void addLoadDeltaToHolders(int expert, double amount) {
        for (int rank : ranksHolding[expert]) {
            addLoadDelta(rank, amount);
        }
    }

    private void addLoadDelta(int rank, double amount) {
        int index = 0;
        while (index < affectedCount && affectedRanks[index] != rank) {
            index++;
        }
        if (index == affectedCount) {
            affectedRanks[affectedCount++] = rank;
            loadDelta[index] = 0;
        }
        loadDelta[index] += slowdowns[rank] * amount;
    }

    /** Applies an adjustment that was found for the current assignment. */
    void apply(Adjustment adjustment) {
        computeLoadDeltas(adjustment);
        for (int index = 0; index < affectedCount; index++) {
            rankLoad[affectedRanks[index]] += loadDelta[index];
        }
        add(adjustment.to, adjustment.expert);
        if (!adjustment.keepsSource()) {
            remove(adjustment.from, adjustment.expert);
        }
        if (adjustment.evicted >= 0) {
            remove(adjustment.to, adjustment.evicted);
            if (adjustment.isSwap()) {
                add(adjustment.from, adjustment.evicted);
            }
        }
    }

    private void add(int rank, int expert) {
        holds[rank][expert] = true;
        ranksHolding[expert] = IntStream.concat(Arrays.stream(ranksHolding[expert]), IntStream.of(rank))
                .toArray();
        replicaCount[expert]++;
        usedSlots[rank]++;
        if (!initiallyHolds[rank][expert]) {
            newExperts[rank]++;
            budget.use(rank);
        }
    }

    private void remove(int rank, int expert) {
        holds[rank][expert] = false;
        ranksHolding[expert] = Arrays.stream(ranksHolding[expert])
                .filter(other -> other != rank)
                .toArray();
        replicaCount[expert]--;
        usedSlots[rank]--;
        if (!initiallyHolds[rank][expert]) {
            newExperts[rank]--;
            budget.giveBack(rank);
        }
    }

    private double potential() {
        return Arrays.stream(rankLoad).map(ReplicaPlanner::eighthPower).sum();
    }

    /**
     * Power used in the potential. The sum of high powers is dominated by the most loaded rank, and still falls when
     * one of several equally loaded ranks is relieved.
     */
    private static double eighthPower(double value) {
        double square = value * value;
        double fourth = square * square;
        return fourth * fourth;
    }
}
