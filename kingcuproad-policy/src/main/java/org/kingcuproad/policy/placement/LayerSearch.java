package org.kingcuproad.policy.placement;

import java.util.Arrays;
import java.util.List;
import org.kingcuproad.model.ModelGroup;

/**
 * Mutable working copy of one layer that evaluates the effect of single changes on rank times.
 *
 * <p>Changes are compared by their effect on the potential: the rank times to the power of 16, summed over the ranks
 * and weighted over the scenarios. The maximum rank time does not change while several ranks share it, so a search on
 * the maximum alone would stop at once.
 */
final class LayerSearch {

    private final int slotsPerRank;
    private final int ranks;
    private final int experts;
    private final int[] expertOfSlot;
    private final int[] replicas;
    private final int[][] slotsOfExpert;
    private final int[] positionOfSlot;
    private final double[] weight;
    private final double[][] load;
    private final double[][] slowness;
    private final double[][] rankTime;
    private final double[][] rankPower;
    private final double[][] replicaLoad;
    private final double[] loadChange;
    private final int[] affectedRanks;
    private final int[] stampOfRank;
    private int affectedCount;
    private int stamp;

    LayerSearch(ModelGroup group, int layer, List<Scenario> scenarios, int[] start) {
        slotsPerRank = group.slotsPerRank();
        ranks = group.ranks();
        experts = group.expertsPerLayer();
        expertOfSlot = start.clone();
        replicas = new int[experts];
        int[] counts = ExpertMap.countReplicas(start, experts);
        slotsOfExpert = new int[experts][];
        Arrays.setAll(slotsOfExpert, expert -> new int[counts[expert]]);
        positionOfSlot = new int[start.length];
        weight = scenarios.stream().mapToDouble(Scenario::weight).toArray();
        load = scenarios.stream()
                .map(scenario -> scenario.normalisedLoad(layer))
                .toArray(double[][]::new);
        slowness = scenarios.stream().map(Scenario::slowness).toArray(double[][]::new);
        rankTime = new double[weight.length][ranks];
        rankPower = new double[weight.length][ranks];
        replicaLoad = new double[weight.length][experts];
        loadChange = new double[ranks];
        affectedRanks = new int[ranks];
        stampOfRank = new int[ranks];
        for (int slot = 0; slot < start.length; slot++) {
            link(slot, start[slot]);
        }
        recompute();
    }

    int[] slots() {
        return expertOfSlot.clone();
    }

    /** Returns the expected time of the slowest rank; 1 is perfectly balanced load at nominal speed. */
    double objective() {
        double sum = 0;
        for (int scenario = 0; scenario < weight.length; scenario++) {
            double slowest = 0;
            for (double time : rankTime[scenario]) {
                slowest = Math.max(slowest, time);
            }
            sum += weight[scenario] * slowest;
        }
        return sum;
    }

    /** Returns the ranks with the highest potential in descending order. */
    int[] mostLoadedRanks(int limit) {
        int[] mostLoaded = new int[Math.min(limit, ranks)];
        double[] best = new double[mostLoaded.length];
        Arrays.fill(best, -1);
        for (int rank = 0; rank < ranks; rank++) {
            double potential = potential(rank);
            int position = mostLoaded.length;
            while (position > 0 && potential > best[position - 1]) {
                position--;
            }
            if (position < mostLoaded.length) {
                System.arraycopy(best, position, best, position + 1, best.length - position - 1);
                System.arraycopy(mostLoaded, position, mostLoaded, position + 1, best.length - position - 1);
                best[position] = potential;
                mostLoaded[position] = rank;
            }
        }
        return mostLoaded;
    }

    int rankOf(int slot) {
        return slot / slotsPerRank;
    }

    int expertAt(int slot) {
        return expertOfSlot[slot];
    }

    int replicas(int expert) {
        return replicas[expert];
    }

    int slotOf(int expert, int replica) {
        return slotsOfExpert[expert][replica];
    }

    double meanLoad(int expert) {
        double sum = 0;
        for (int scenario = 0; scenario < weight.length; scenario++) {
            sum += weight[scenario] * load[scenario][expert];
        }
        return sum;
    }

    /** Returns the expected load of one replica of an expert. */
    double meanReplicaLoad(int expert) {
        return meanLoad(expert) / replicas[expert];
    }

    boolean holds(int rank, int expert) {
        for (int slot = rank * slotsPerRank; slot < (rank + 1) * slotsPerRank; slot++) {
            if (expertOfSlot[slot] == expert) {
                return true;
            }
        }
        return false;
    }

    /** Returns the reduction of the potential if two slots of different ranks swap their experts. */
    double swapGain(int slotA, int slotB) {
        int rankA = rankOf(slotA);
        int rankB = rankOf(slotB);
        int expertA = expertOfSlot[slotA];
        int expertB = expertOfSlot[slotB];
        double change = 0;
        for (int scenario = 0; scenario < weight.length; scenario++) {
            double loadDifference = replicaLoad[scenario][expertB] - replicaLoad[scenario][expertA];
            double timeA = rankTime[scenario][rankA];
            double timeB = rankTime[scenario][rankB];
            change += weight[scenario]
                    * (sixteenthPower(timeA + loadDifference * slowness[scenario][rankA])
                            - rankPower[scenario][rankA]
                            + sixteenthPower(timeB - loadDifference * slowness[scenario][rankB])
                            - rankPower[scenario][rankB]);
        }
        return -change;
    }

    /**
     * Returns the reduction of the potential if a slot takes another expert; the old expert must have a second replica.
     */
    double replaceGain(int slot, int expert) {
        double change = 0;
        for (int scenario = 0; scenario < weight.length; scenario++) {
            collectLoadChanges(scenario, slot, expert);
            for (int i = 0; i < affectedCount; i++) {
                int rank = affectedRanks[i];
                double time = rankTime[scenario][rank];
                change += weight[scenario]
                        * (sixteenthPower(time + loadChange[rank] * slowness[scenario][rank])
                                - rankPower[scenario][rank]);
                loadChange[rank] = 0;
            }
        }
        return -change;
    }

    void swap(int slotA, int slotB) {
        int expertA = expertOfSlot[slotA];
        int expertB = expertOfSlot[slotB];
        unlink(slotA);
        unlink(slotB);
        link(slotA, expertB);
        link(slotB, expertA);
        recompute();
    }

    void replace(int slot, int expert) {
        unlink(slot);
        link(slot, expert);
        recompute();
    }

    private void collectLoadChanges(int scenario, int slot, int expert) {
        affectedCount = 0;
        stamp++;
        int oldExpert = expertOfSlot[slot];
        double oldReplicaLoad = replicaLoad[scenario][oldExpert];
        double oldReplicaLoadAfter = load[scenario][oldExpert] / (replicas[oldExpert] - 1);
        double newReplicaLoad = replicaLoad[scenario][expert];
        double newReplicaLoadAfter = load[scenario][expert] / (replicas[expert] + 1);
        addLoadChange(rankOf(slot), newReplicaLoadAfter - oldReplicaLoadAfter);
        for (int i = 0; i < replicas[oldExpert]; i++) {
            addLoadChange(rankOf(slotsOfExpert[oldExpert][i]), oldReplicaLoadAfter - oldReplicaLoad);
        }
        for (int i = 0; i < replicas[expert]; i++) {
            addLoadChange(rankOf(slotsOfExpert[expert][i]), newReplicaLoadAfter - newReplicaLoad);
        }
    }

    private void addLoadChange(int rank, double amount) {
        if (stampOfRank[rank] != stamp) {
            stampOfRank[rank] = stamp;
            affectedRanks[affectedCount++] = rank;
        }
        loadChange[rank] += amount;
    }

    private double potential(int rank) {
        double sum = 0;
        for (int scenario = 0; scenario < weight.length; scenario++) {
            sum += weight[scenario] * rankPower[scenario][rank];
        }
        return sum;
    }

    private void link(int slot, int expert) {
        expertOfSlot[slot] = expert;
        positionOfSlot[slot] = replicas[expert];
        if (replicas[expert] == slotsOfExpert[expert].length) {
            slotsOfExpert[expert] = Arrays.copyOf(slotsOfExpert[expert], 2 * replicas[expert] + 1);
        }
        slotsOfExpert[expert][replicas[expert]++] = slot;
    }

    private void unlink(int slot) {
        int expert = expertOfSlot[slot];
        int last = slotsOfExpert[expert][--replicas[expert]];
        slotsOfExpert[expert][positionOfSlot[slot]] = last;
        positionOfSlot[last] = positionOfSlot[slot];
    }

    private void recompute() {
        for (int scenario = 0; scenario < weight.length; scenario++) {
            double[] times = rankTime[scenario];
            double[] replicaLoads = replicaLoad[scenario];
            for (int expert = 0; expert < experts; expert++) {
                replicaLoads[expert] = load[scenario][expert] / replicas[expert];
            }
            Arrays.fill(times, 0);
            for (int slot = 0; slot < expertOfSlot.length; slot++) {
                int expert = expertOfSlot[slot];
                int rank = slot / slotsPerRank;
                times[rank] += replicaLoads[expert] * slowness[scenario][rank];
            }
            for (int rank = 0; rank < ranks; rank++) {
                rankPower[scenario][rank] = sixteenthPower(times[rank]);
            }
        }
    }

    static double sixteenthPower(double time) {
        double square = time * time;
        double fourth = square * square;
        double eighth = fourth * fourth;
        return eighth * eighth;
    }
}
