package org.kingcuproad.policy.placement;

import java.util.Arrays;
import java.util.List;
import org.kingcuproad.model.ModelGroup;

/** Greedily assigns replicas to the slots of an empty layer, each to the rank where it raises the cost least. */
final class LayerPacker {

    private final int slotsPerRank;
    private final int[] expertOfSlot;
    private final int[] filledSlots;
    private final double[] weight;
    private final double[][] load;
    private final double[][] slowness;
    private final double[][] rankTime;

    LayerPacker(ModelGroup group, int layer, List<Scenario> scenarios) {
        slotsPerRank = group.slotsPerRank();
        expertOfSlot = new int[group.ranks() * slotsPerRank];
        filledSlots = new int[group.ranks()];
        weight = scenarios.stream().mapToDouble(Scenario::weight).toArray();
        load = scenarios.stream()
                .map(scenario -> scenario.normalisedLoad(layer))
                .toArray(double[][]::new);
        slowness = scenarios.stream().map(Scenario::slowness).toArray(double[][]::new);
        rankTime = new double[weight.length][group.ranks()];
        Arrays.fill(expertOfSlot, -1);
    }

    void place(int expert, int replicas) {
        int best = -1;
        double lowestCost = Double.MAX_VALUE;
        for (int rank = 0; rank < filledSlots.length; rank++) {
            if (filledSlots[rank] < slotsPerRank) {
                double cost = cost(rank, expert, replicas);
                if (cost < lowestCost) {
                    lowestCost = cost;
                    best = rank;
                }
            }
        }
        expertOfSlot[best * slotsPerRank + filledSlots[best]++] = expert;
        for (int scenario = 0; scenario < weight.length; scenario++) {
            rankTime[scenario][best] += load[scenario][expert] / replicas * slowness[scenario][best];
        }
    }

    int[] slots() {
        return expertOfSlot.clone();
    }

    private double cost(int rank, int expert, int replicas) {
        double cost = 0;
        for (int scenario = 0; scenario < weight.length; scenario++) {
            double time = rankTime[scenario][rank] + load[scenario][expert] / replicas * slowness[scenario][rank];
            cost += weight[scenario] * LayerSearch.sixteenthPower(time);
        }
        // A second replica on the same rank does not spread the load of the expert, so it is a last resort.
        return holds(rank, expert) ? cost + 1e6 : cost;
    }

    private boolean holds(int rank, int expert) {
        for (int i = 0; i < filledSlots[rank]; i++) {
            if (expertOfSlot[rank * slotsPerRank + i] == expert) {
                return true;
            }
        }
        return false;
    }
}
