package org.kingcuproad.policy.lockstep;

import java.util.Arrays;
import java.util.Comparator;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * Plans which ranks hold which experts of a set.
 *
 * <p>Every pass lasts as long as its most loaded rank needs, so the planner takes load off the heaviest ranks, one
 * change at a time: another replica on a free place or in place of an expert that has several, a move, or an exchange.
 * It stops when the next change saves less than its copies cost.
 */
public final class ReplicaPlanner {

    /** Heaviest ranks that a change starts from. */
    private static final int TRIED_RANKS = 2;

    /** Lightest ranks that a change may go to; the others would soon be the heaviest. */
    private static final int TRIED_TARGETS = 12;

    /** Changes of one set for each rank: a replica on each rank and as many moves, with room to spare. */
    private static final int MOST_CHANGES_A_RANK = 4;

    /** Changes without a better plan after which the search ends, since each further one only adds copies. */
    private static final int PATIENCE = 10;

    /** A change that improves the potential by a smaller share is rounding. */
    private static final double LEAST_GAIN = 1e-9;

    private final GroupShape shape;
    private final int ranks;
    private final double[] load;
    private final double[] paces;
    private final boolean[][] holds;
    private final boolean[][] held;
    private final int[][] holders;
    private final int[] replicas;
    private final int[] used;
    private final int[] taken;
    private final double[] rankLoad;
    private final double[] shifted;
    private final int[] touched;
    private int touchedCount;

    private ReplicaPlanner(GroupShape shape, int[][] byRank, double[] load, double[] paces) {
        this.paces = paces;
        this.shape = shape;
        this.ranks = byRank.length;
        this.load = load;
        this.holds = new boolean[ranks][shape.experts()];
        this.replicas = new int[shape.experts()];
        this.holders = new int[shape.experts()][0];
        this.used = new int[ranks];
        this.taken = new int[ranks];
        this.held = new boolean[ranks][shape.experts()];
        for (int rank = 0; rank < ranks; rank++) {
            for (int expert : byRank[rank]) {
                held[rank][expert] = true;
                add(rank, expert);
            }
        }
        this.rankLoad = loads();
        this.shifted = new double[ranks];
        this.touched = new int[ranks];
    }

    /**
     * Plans one set.
     *
     * @param shape shape of the group
     * @param byRank experts of the set by rank, as they are
     * @param counts how often each expert of the set was chosen recently
     * @param paces how many times longer than usual each rank takes for the same work
     * @param leastGainPerCopy least reduction of the heaviest rank's load that justifies a copy; 1 is the mean load
     * @return experts of the set by rank, as they should be
     */
    public static int[][] plan(
            GroupShape shape, int[][] byRank, double[] counts, double[] paces, double leastGainPerCopy) {
        ReplicaPlanner planner = new ReplicaPlanner(shape, byRank, normalised(counts, byRank.length), paces);
        int[][] best = byRank;
        double start = planner.heaviest();
        double bestValue = 0;
        int sinceBest = 0;
        int mostChanges = MOST_CHANGES_A_RANK * byRank.length;
        for (int change = 0; change < mostChanges && sinceBest < PATIENCE && planner.improve(); change++) {
            double value = start - planner.heaviest() - leastGainPerCopy * planner.copies();
            sinceBest++;
            if (value > bestValue) {
                bestValue = value;
                best = planner.lists();
                sinceBest = 0;
            }
        }
        return best;
    }

    /**
     * Returns the load of the heaviest rank.
     *
     * @param shape shape of the group
     * @param byRank experts of the set by rank
     * @param counts how often each expert of the set was chosen recently
     * @param paces how many times longer than usual each rank takes for the same work
     * @return the load; 1 is the mean over all ranks
     */
    public static double heaviestLoad(GroupShape shape, int[][] byRank, double[] counts, double[] paces) {
        return new ReplicaPlanner(shape, byRank, normalised(counts, byRank.length), paces).heaviest();
    }

    private static double[] normalised(double[] counts, int ranks) {
        double mean = Arrays.stream(counts).sum() / ranks;
        return mean == 0
                ? counts.clone()
                : Arrays.stream(counts).map(count -> count / mean).toArray();
    }

    private double[] loads() {
        double[] loads = new double[ranks];
        for (int rank = 0; rank < ranks; rank++) {
            for (int expert = 0; expert < shape.experts(); expert++) {
                if (holds[rank][expert]) {
                    loads[rank] += paces[rank] * load[expert] / replicas[expert];
                }
            }
        }
        return loads;
    }

    private double heaviest() {
        return Arrays.stream(rankLoad).max().orElse(0);
    }

    private int copies() {
        int copies = 0;
        for (int rank = 0; rank < ranks; rank++) {
            for (int expert = 0; expert < shape.experts(); expert++) {
                copies += holds[rank][expert] && !held[rank][expert] ? 1 : 0;
            }
        }
        return copies;
    }

    private int[][] lists() {
        int[][] lists = new int[ranks][];
        for (int rank = 0; rank < ranks; rank++) {
            int at = 0;
            int[] list = new int[used[rank]];
            for (int expert = 0; expert < shape.experts(); expert++) {
                if (holds[rank][expert]) {
                    list[at++] = expert;
                }
            }
            lists[rank] = list;
        }
        return lists;
    }

    private boolean improve() {
        int[] byLoad = IntStream.range(0, ranks)
                .boxed()
                .sorted(Comparator.comparingDouble(rank -> -rankLoad[rank]))
                .mapToInt(Integer::intValue)
                .toArray();
        int[] targets = Arrays.copyOfRange(byLoad, Math.max(0, ranks - TRIED_TARGETS), ranks);
        Change best = null;
        double bestGrowth = -potential() * LEAST_GAIN;
        for (int from : Arrays.copyOf(byLoad, Math.min(TRIED_RANKS, ranks))) {
            for (int expert = 0; expert < shape.experts(); expert++) {
                if (!holds[from][expert]) {
                    continue;
                }
                for (int to : targets) {
                    if (to != from && !holds[to][expert]) {
                        Change found = bestChange(from, expert, to, bestGrowth);
                        if (found != null) {
                            best = found;
                            bestGrowth = found.growth;
                        }
                    }
                }
            }
        }
        if (best == null) {
            return false;
        }
        shiftLoads(best);
        for (int at = 0; at < touchedCount; at++) {
            rankLoad[touched[at]] += shifted[at];
        }
        apply(best);
        return true;
    }

    /** How an expert gets to another rank. */
    private enum Way {
        /** It stays where it was too. */
        ADDED,
        /** It leaves the rank that it comes from. */
        MOVED,
        /** It changes places with another expert. */
        EXCHANGED
    }

    /**
     * An expert goes to another rank; another expert may leave that rank for it, or -1.
     *
     * @param growth by how much the potential of the loads grows
     */
    private record Change(int from, int expert, int to, Way way, int evicted, double growth) {

        private boolean stays() {
            return way == Way.ADDED;
        }

        private boolean exchanged() {
            return way == Way.EXCHANGED;
        }
    }

    private @Nullable Change bestChange(int from, int expert, int to, double toBeat) {
        if (taken[to] >= shape.spare() && !held[to][expert]) {
            return null;
        }
        Change best = null;
        double least = toBeat;
        boolean room = used[to] < shape.places();
        for (int evicted = room ? -1 : 0; evicted < shape.experts(); evicted++) {
            if (evicted >= 0 && (!holds[to][evicted] || evicted == expert)) {
                continue;
            }
            for (Way way : Way.values()) {
                Change change = new Change(from, expert, to, way, evicted, 0);
                double growth = legal(change) ? growth(change) : Double.MAX_VALUE;
                if (growth < least) {
                    least = growth;
                    best = new Change(from, expert, to, way, evicted, growth);
                }
            }
        }
        return best;
    }

    private boolean legal(Change change) {
        if (!change.exchanged()) {
            return change.evicted < 0 || replicas[change.evicted] > 1;
        }
        return change.evicted >= 0
                && !holds[change.from][change.evicted]
                && (held[change.from][change.evicted] || taken[change.from] < shape.spare());
    }

    /** Returns by how much a change would raise the potential; only the ranks that it touches are looked at. */
    private double growth(Change change) {
        shiftLoads(change);
        double growth = 0;
        for (int at = 0; at < touchedCount; at++) {
            double before = rankLoad[touched[at]];
            growth += eighthPower(before + shifted[at]) - eighthPower(before);
        }
        return growth;
    }

    /** Computes by how much a change shifts the load of each rank that it touches. */
    private void shiftLoads(Change change) {
        touchedCount = 0;
        double share = load[change.expert] / replicas[change.expert];
        if (change.stays()) {
            double lowered = load[change.expert] / (replicas[change.expert] + 1);
            shiftHolders(change.expert, lowered - share);
            shift(change.to, lowered);
        } else {
            shift(change.from, -share);
            shift(change.to, share);
        }
        if (change.evicted >= 0) {
            double evictedShare = load[change.evicted] / replicas[change.evicted];
            shift(change.to, -evictedShare);
            if (change.exchanged()) {
                shift(change.from, evictedShare);
            } else {
                double raised = load[change.evicted] / (replicas[change.evicted] - 1);
                shiftHolders(change.evicted, raised - evictedShare);
                shift(change.to, evictedShare - raised);
            }
        }
    }

    private void shiftHolders(int expert, double amount) {
        for (int rank : holders[expert]) {
            shift(rank, amount);
        }
    }

    private void shift(int rank, double amount) {
        int at = 0;
        while (at < touchedCount && touched[at] != rank) {
            at++;
        }
        if (at == touchedCount) {
            touched[touchedCount++] = rank;
            shifted[at] = 0;
        }
        shifted[at] += paces[rank] * amount;
    }

    private void apply(Change change) {
        add(change.to, change.expert);
        if (!change.stays()) {
            drop(change.from, change.expert);
        }
        if (change.evicted >= 0) {
            drop(change.to, change.evicted);
            if (change.exchanged()) {
                add(change.from, change.evicted);
            }
        }
    }

    private void add(int rank, int expert) {
        holds[rank][expert] = true;
        holders[expert] = IntStream.concat(Arrays.stream(holders[expert]), IntStream.of(rank))
                .toArray();
        replicas[expert]++;
        used[rank]++;
        taken[rank] += held[rank][expert] ? 0 : 1;
    }

    private void drop(int rank, int expert) {
        holds[rank][expert] = false;
        holders[expert] =
                Arrays.stream(holders[expert]).filter(other -> other != rank).toArray();
        replicas[expert]--;
        used[rank]--;
        taken[rank] -= held[rank][expert] ? 0 : 1;
    }

    private double potential() {
        return Arrays.stream(rankLoad).map(ReplicaPlanner::eighthPower).sum();
    }

    /**
     * The sum of high powers follows the heaviest rank, and still falls when one of several equally heavy ones gets
     * lighter.
     */
    private static double eighthPower(double value) {
        double square = value * value;
        double fourth = square * square;
        return fourth * fourth;
    }
}
