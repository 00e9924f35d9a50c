package org.kingcuproad.policy.placement;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import org.kingcuproad.model.ModelGroup;

/** Searches for better assignments of one layer, by local search from a given assignment or by packing from scratch. */
final class LayerPlanner {

    /**
     * Number of most loaded ranks tried before the search stops; in trials, more of them took time without finding an
     * improvement.
     */
    private static final int MAX_RANKS_TRIED = 3;

    /** Number of experts that may give up a replica, those with the lowest load per remaining replica first. */
    private static final int MAX_DONORS_TRIED = 4;

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
     * Improves an assignment one change at a time and returns the intermediate assignment with the highest value.
     *
     * @param start the expert of each slot
     * @param limit maximum number of changes
     * @param value computes the value of an assignment from its improvement over the start and the number of changed
     *     slots
     * @return the best assignment found, which may be the start
     */
    int[] improve(int[] start, int limit, AssignmentValue value) {
        LayerSearch search = new LayerSearch(group, layer, scenarios, start);
        double before = search.objective();
        int[] best = start;
        double bestValue = 0;
        for (int change = 0; change < limit && improveOnce(search); change++) {
            int[] slots = search.slots();
            double foundValue = value.compute(before - search.objective(), changedSlots(start, slots));
            if (foundValue > bestValue) {
                bestValue = foundValue;
                best = slots;
            }
        }
        return best;
    }

    /**
     * Packs the layer from scratch: gives the spare replicas to the experts with the highest load per replica, then
     * assigns the replicas in descending order of load, each to the rank where it raises the cost least.
     *
     * @return the expert of each slot
     */
    int[] pack() {
        LayerSearch search = new LayerSearch(
                group, layer, scenarios, ExpertMap.roundRobin(group).layer(layer));
        int[] replicas = replicaCounts(search);
        double[] replicaLoad = new double[replicas.length];
        Arrays.setAll(replicaLoad, expert -> search.meanLoad(expert) / replicas[expert]);
        Integer[] order = IntStream.range(0, replicas.length).boxed().toArray(Integer[]::new);
        Arrays.sort(order, Comparator.comparingDouble(expert -> -replicaLoad[expert]));
        LayerPacker packer = new LayerPacker(group, layer, scenarios);
        for (int expert : order) {
            for (int replica = 0; replica < replicas[expert]; replica++) {
                packer.place(expert, replicas[expert]);
            }
        }
        return packer.slots();
    }

    static int changedSlots(int[] from, int[] to) {
        int changed = 0;
        for (int slot = 0; slot < from.length; slot++) {
            changed += from[slot] == to[slot] ? 0 : 1;
        }
        return changed;
    }

    private int[] replicaCounts(LayerSearch search) {
        int[] replicas = new int[group.expertsPerLayer()];
        Arrays.fill(replicas, 1);
        double[] mean = new double[replicas.length];
        Arrays.setAll(mean, search::meanLoad);
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
        for (int rank : search.mostLoadedRanks(MAX_RANKS_TRIED)) {
            if (improveRank(search, rank, donors)) {
                return true;
            }
        }
        return false;
    }

    private boolean improveRank(LayerSearch search, int rank, int[] donors) {
        BestChange best = new BestChange();
        int first = rank * group.slotsPerRank();
        for (int slot = first; slot < first + group.slotsPerRank(); slot++) {
            trySwaps(search, slot, best);
            tryAddReplica(search, search.expertAt(slot), donors, best);
            tryReplace(search, slot, best);
        }
        return best.apply(search);
    }

    private void trySwaps(LayerSearch search, int slot, BestChange best) {
        for (int other = 0; other < group.ranks() * group.slotsPerRank(); other++) {
            if (canSwap(search, slot, other)) {
                // A swap loads the weights of two experts, so its gain is halved to compare gains per loaded expert.
                best.offerSwap(search.swapGain(slot, other) / 2, slot, other);
            }
        }
    }

    private void tryAddReplica(LayerSearch search, int expert, int[] donors, BestChange best) {
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

    private void tryReplace(LayerSearch search, int slot, BestChange best) {
        int oldExpert = search.expertAt(slot);
        if (search.replicas(oldExpert) < 2) {
            return;
        }
        for (int expert = 0; expert < group.expertsPerLayer(); expert++) {
            if (search.meanReplicaLoad(expert) < search.meanReplicaLoad(oldExpert)
                    && !search.holds(search.rankOf(slot), expert)) {
                best.offerReplace(search.replaceGain(slot, expert), slot, expert);
            }
        }
    }

    private int[] donors(LayerSearch search) {
        int[] donors = new int[MAX_DONORS_TRIED];
        double[] lowestCosts = new double[MAX_DONORS_TRIED];
        int found = 0;
        for (int expert = 0; expert < group.expertsPerLayer(); expert++) {
            if (search.replicas(expert) < 2) {
                continue;
            }
            double cost = search.meanLoad(expert) / (search.replicas(expert) - 1);
            int position = found < MAX_DONORS_TRIED ? found++ : MAX_DONORS_TRIED;
            for (; position > 0 && cost < lowestCosts[position - 1]; position--) {
                if (position < MAX_DONORS_TRIED) {
                    lowestCosts[position] = lowestCosts[position - 1];
                    donors[position] = donors[position - 1];
                }
            }
            if (position < MAX_DONORS_TRIED) {
                lowestCosts[position] = cost;
                donors[position] = expert;
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
