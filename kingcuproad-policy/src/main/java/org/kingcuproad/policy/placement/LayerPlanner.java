package org.kingcuproad.policy.placement;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.kingcuproad.model.ModelGroup;

/** Finds better assignments of one layer, by single improvements or from scratch. */
final class LayerPlanner {

    /** Heaviest ranks that are tried before the search stops; more of them cost time and found nothing in trials. */
    private static final int TRIED_RANKS = 3;

    /** Experts with the smallest load per remaining replica that may give up a replica. */
    private static final int TRIED_DONORS = 4;

    private final ModelGroup group;
    private final int layer;
    private final List<Scenario> scenarios;

    LayerPlanner(ModelGroup group, int layer, List<Scenario> scenarios) {
        this.group = group;
        this.layer = layer;
        this.scenarios = scenarios;
    }

    double objective(int[] slots) {
        return new LayerSearch(group, layer, scenarios, slots).objective();
    }

    /**
     * Improves an assignment change by change and keeps the state with the highest value.
     *
     * @param start the expert of each slot
     * @param limit most changes
     * @param value rates a state by its objective and its distance from the start
     * @return the best state found, which may be the start
     */
    int[] improve(int[] start, int limit, StateValue value) {
        LayerSearch search = new LayerSearch(group, layer, scenarios, start);
        double before = search.objective();
        int[] best = start;
        double bestValue = 0;
        for (int change = 0; change < limit && improveOnce(search); change++) {
            int[] slots = search.slots();
            double found = value.of(before - search.objective(), distance(start, slots));
            if (found > bestValue) {
                bestValue = found;
                best = slots;
            }
        }
        return best;
    }

    /**
     * Packs the layer from scratch: replicas for the hottest experts, then the heaviest replica first onto the rank
     * where it adds least.
     *
     * @return the expert of each slot
     */
    int[] pack() {
        LayerSearch loads = new LayerSearch(
                group, layer, scenarios, ExpertMap.roundRobin(group).layer(layer));
        int[] replicas = replicaCounts(loads);
        double[] share = new double[replicas.length];
        Arrays.setAll(share, expert -> loads.meanLoad(expert) / replicas[expert]);
        Integer[] order = IntStream.range(0, replicas.length).boxed().toArray(Integer[]::new);
        Arrays.sort(order, Comparator.comparingDouble(expert -> -share[expert]));
        Packing packing = new Packing(group, layer, scenarios);
        for (int expert : order) {
            for (int replica = 0; replica < replicas[expert]; replica++) {
                packing.place(expert, replicas[expert]);
            }
        }
        return packing.slots();
    }

    static int distance(int[] from, int[] to) {
        int distance = 0;
        for (int slot = 0; slot < from.length; slot++) {
            distance += from[slot] == to[slot] ? 0 : 1;
        }
        return distance;
    }

    private int[] replicaCounts(LayerSearch loads) {
        int[] replicas = new int[group.expertsPerLayer()];
        Arrays.fill(replicas, 1);
        double[] mean = new double[replicas.length];
        Arrays.setAll(mean, loads::meanLoad);
        int spare = group.ranks() * group.slotsPerRank() - replicas.length;
        for (; spare > 0; spare--) {
            int hottest = 0;
            for (int expert = 1; expert < replicas.length; expert++) {
                if (mean[expert] * replicas[hottest] > mean[hottest] * replicas[expert]) {
                    hottest = expert;
                }
            }
            replicas[hottest]++;
        }
        return replicas;
    }

    private boolean improveOnce(LayerSearch search) {
        int[] donors = donors(search);
        for (int rank : search.heaviestRanks(TRIED_RANKS)) {
            if (improveRank(search, rank, donors)) {
                return true;
            }
        }
        return false;
    }

    private boolean improveRank(LayerSearch search, int rank, int[] donors) {
        Candidate best = new Candidate();
        int first = rank * group.slotsPerRank();
        for (int slot = first; slot < first + group.slotsPerRank(); slot++) {
            trySwaps(search, slot, best);
            tryAddReplica(search, search.expertAt(slot), donors, best);
            tryReplace(search, slot, best);
        }
        return best.apply(search);
    }

    private void trySwaps(LayerSearch search, int slot, Candidate best) {
        for (int other = 0; other < group.ranks() * group.slotsPerRank(); other++) {
            if (canSwap(search, slot, other)) {
                // A swap loads two experts, so its gain is taken per load.
                best.offerSwap(search.swapGain(slot, other) / 2, slot, other);
            }
        }
    }

    private void tryAddReplica(LayerSearch search, int expert, int[] donors, Candidate best) {
        for (int donor : donors) {
            if (donor == expert) {
                continue;
            }
            for (int replica = 0; replica < search.replicas(donor); replica++) {
                int slot = search.slotOf(donor, replica);
                if (!search.holds(search.rankOf(slot), expert)) {
                    best.offerReplace(search.replaceGain(slot, expert), slot, expert);
                }
            }
        }
    }

    private void tryReplace(LayerSearch search, int slot, Candidate best) {
        int old = search.expertAt(slot);
        if (search.replicas(old) < 2) {
            return;
        }
        for (int expert = 0; expert < group.expertsPerLayer(); expert++) {
            if (search.meanShare(expert) < search.meanShare(old) && !search.holds(search.rankOf(slot), expert)) {
                best.offerReplace(search.replaceGain(slot, expert), slot, expert);
            }
        }
    }

    private int[] donors(LayerSearch search) {
        int[] donors = new int[TRIED_DONORS];
        double[] least = new double[TRIED_DONORS];
        int found = 0;
        for (int expert = 0; expert < group.expertsPerLayer(); expert++) {
            if (search.replicas(expert) < 2) {
                continue;
            }
            double cost = search.meanLoad(expert) / (search.replicas(expert) - 1);
            int at = found < TRIED_DONORS ? found++ : TRIED_DONORS;
            for (; at > 0 && cost < least[at - 1]; at--) {
                if (at < TRIED_DONORS) {
                    least[at] = least[at - 1];
                    donors[at] = donors[at - 1];
                }
            }
            if (at < TRIED_DONORS) {
                least[at] = cost;
                donors[at] = expert;
            }
        }
        return Arrays.copyOf(donors, found);
    }

    private boolean canSwap(LayerSearch search, int slot, int other) {
        int expert = search.expertAt(slot);
        int otherExpert = search.expertAt(other);
        return expert != otherExpert
                && search.rankOf(slot) != search.rankOf(other)
                && !search.holds(search.rankOf(other), expert)
                && !search.holds(search.rankOf(slot), otherExpert);
    }
}
