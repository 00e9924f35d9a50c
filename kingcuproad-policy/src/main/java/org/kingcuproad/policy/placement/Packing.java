package org.kingcuproad.policy.placement;

import java.util.Arrays;
import java.util.List;
import org.kingcuproad.model.ModelGroup;

/** Fills the slots of an empty layer, each replica on the rank where it adds least. */
final class Packing {

    private final int slotsPerRank;
    private final int[] expertOfSlot;
    private final int[] used;
    private final double[] weight;
    private final double[][] load;
    private final double[][] slowness;
    private final double[][] rankTime;

    Packing(ModelGroup group, int layer, List<Scenario> scenarios) {
        slotsPerRank = group.slotsPerRank();
        expertOfSlot = new int[group.ranks() * slotsPerRank];
        used = new int[group.ranks()];
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
        double least = Double.MAX_VALUE;
        for (int rank = 0; rank < used.length; rank++) {
            if (used[rank] < slotsPerRank) {
                double cost = cost(rank, expert, replicas);
                if (cost < least) {
                    least = cost;
                    best = rank;
                }
            }
        }
        expertOfSlot[best * slotsPerRank + used[best]++] = expert;
        for (int k = 0; k < weight.length; k++) {
            rankTime[k][best] += load[k][expert] / replicas * slowness[k][best];
        }
    }

    int[] slots() {
        return expertOfSlot.clone();
    }

    private double cost(int rank, int expert, int replicas) {
        double cost = 0;
        for (int k = 0; k < weight.length; k++) {
            double time = rankTime[k][rank] + load[k][expert] / replicas * slowness[k][rank];
            cost += weight[k] * LayerSearch.power(time);
        }
        // A second replica on the same rank gives up the even split, so it comes last.
        return holds(rank, expert) ? cost + 1e6 : cost;
    }

    private boolean holds(int rank, int expert) {
        for (int i = 0; i < used[rank]; i++) {
            if (expertOfSlot[rank * slotsPerRank + i] == expert) {
                return true;
            }
        }
        return false;
    }
}
