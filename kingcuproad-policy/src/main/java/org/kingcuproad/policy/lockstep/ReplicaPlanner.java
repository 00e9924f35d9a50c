package org.kingcuproad.policy.lockstep;

import java.util.Arrays;
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

    /** Bound on the changes of one set, so that a plan takes some milliseconds. */
    private static final int MOST_CHANGES = 40;

    /** A change that improves the potential by a smaller share is rounding. */
    private static final double LEAST_GAIN = 1e-9;

    private final GroupShape shape;
    private final int ranks;
    private final double[] load;
    private final double[] paces;
    private final boolean[][] holds;
    private final boolean[][] held;
    private final int[] replicas;
    private final int[] used;
    private final int[] taken;
    private double[] rankLoad;

    private ReplicaPlanner(GroupShape shape, int[][] byRank, double[] load, double[] paces) {
        this.paces = paces;
        this.shape = shape;
        this.ranks = byRank.length;
        this.load = load;
        this.holds = new boolean[ranks][shape.experts()];
        this.replicas = new int[shape.experts()];
        this.used = new int[ranks];
        this.taken = new int[ranks];
        for (int rank = 0; rank < ranks; rank++) {
            for (int expert : byRank[rank]) {
                holds[rank][expert] = true;
                replicas[expert]++;
                used[rank]++;
            }
        }
        this.held = Arrays.stream(holds).map(boolean[]::clone).toArray(boolean[][]::new);
        this.rankLoad = loads();
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
        for (int change = 0; change < MOST_CHANGES && planner.improve(); change++) {
            double value = start - planner.heaviest() - leastGainPerCopy * planner.copies();
            if (value > bestValue) {
                bestValue = value;
                best = planner.lists();
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
        int[] heaviest = heaviestRanks();
        Change best = null;
        double bestPotential = potential() * (1 - LEAST_GAIN);
        for (int rank : heaviest) {
            for (int expert = 0; expert < shape.experts(); expert++) {
                if (holds[rank][expert]) {
                    for (int other = 0; other < ranks; other++) {
                        if (other != rank && !holds[other][expert]) {
                            Change found = bestChange(rank, expert, other, bestPotential);
                            if (found != null) {
                                best = found;
                                bestPotential = found.potential;
                            }
                        }
                    }
                }
            }
        }
        if (best == null) {
            return false;
        }
        apply(best);
        rankLoad = loads();
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
     * @param potential potential of the loads after the change
     */
    private record Change(int from, int expert, int to, Way way, int evicted, double potential) {

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
                double potential = legal(change) ? potentialAfter(change) : Double.MAX_VALUE;
                if (potential < least) {
                    least = potential;
                    best = new Change(from, expert, to, way, evicted, potential);
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

    private double potentialAfter(Change change) {
        apply(change);
        double[] changed = loads(change);
        undo(change);
        return potential(changed);
    }

    /** Computes the loads after a change that is already applied to the lists, from those before it. */
    private double[] loads(Change change) {
        double[] loads = rankLoad.clone();
        shift(loads, change.expert, change.stays() ? replicas[change.expert] - 1 : replicas[change.expert], change);
        if (change.evicted >= 0) {
            int before = change.exchanged() ? replicas[change.evicted] : replicas[change.evicted] + 1;
            shift(loads, change.evicted, before, change);
        }
        return loads;
    }

    private void shift(double[] loads, int expert, int replicasBefore, Change change) {
        double before = load[expert] / replicasBefore;
        double after = load[expert] / replicas[expert];
        for (int rank = 0; rank < ranks; rank++) {
            boolean heldBefore = holds[rank][expert];
            if (rank == change.from || rank == change.to) {
                heldBefore = expert == change.expert ? rank == change.from : rank == change.to;
            }
            loads[rank] += paces[rank] * ((holds[rank][expert] ? after : 0) - (heldBefore ? before : 0));
        }
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

    private void undo(Change change) {
        if (change.evicted >= 0) {
            if (change.exchanged()) {
                drop(change.from, change.evicted);
            }
            add(change.to, change.evicted);
        }
        if (!change.stays()) {
            add(change.from, change.expert);
        }
        drop(change.to, change.expert);
    }

    private void add(int rank, int expert) {
        holds[rank][expert] = true;
        replicas[expert]++;
        used[rank]++;
        taken[rank] += held[rank][expert] ? 0 : 1;
    }

    private void drop(int rank, int expert) {
        holds[rank][expert] = false;
        replicas[expert]--;
        used[rank]--;
        taken[rank] -= held[rank][expert] ? 0 : 1;
    }

    private int[] heaviestRanks() {
        int[] heaviest = new int[Math.min(TRIED_RANKS, ranks)];
        boolean[] chosen = new boolean[ranks];
        for (int at = 0; at < heaviest.length; at++) {
            int best = -1;
            for (int rank = 0; rank < ranks; rank++) {
                if (!chosen[rank] && (best < 0 || rankLoad[rank] > rankLoad[best])) {
                    best = rank;
                }
            }
            chosen[best] = true;
            heaviest[at] = best;
        }
        return heaviest;
    }

    private double potential() {
        return potential(rankLoad);
    }

    /**
     * The sum of high powers follows the heaviest rank, and still falls when one of several equally heavy ones gets
     * lighter.
     */
    private static double potential(double[] loads) {
        double sum = 0;
        for (double value : loads) {
            double square = value * value;
            double fourth = square * square;
            sum += fourth * fourth;
        }
        return sum;
    }
}
