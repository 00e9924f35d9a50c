package org.kingcuproad.policy.placement;

import java.util.Arrays;
import java.util.List;
import org.kingcuproad.model.ModelGroup;

/**
 * Mutable working copy of one layer with incremental rank times.
 *
 * <p>Moves are compared by the weighted sum over ranks of the rank time to the power of 16. The plain maximum does not
 * change while several ranks tie for it, so a search on the maximum alone stops at once.
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
    private final double[][] share;
    private final double[] delta;
    private final int[] touched;
    private final int[] stampOfRank;
    private int touchedCount;
    private int stamp;

    LayerSearch(ModelGroup group, int layer, List<Scenario> scenarios, int[] start) {
        slotsPerRank = group.slotsPerRank();
        ranks = group.ranks();
        experts = group.expertsPerLayer();
        expertOfSlot = start.clone();
        replicas = new int[experts];
        int[] counts = ExpertMap.count(start, experts);
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
        share = new double[weight.length][experts];
        delta = new double[ranks];
        touched = new int[ranks];
        stampOfRank = new int[ranks];
        for (int slot = 0; slot < start.length; slot++) {
            link(slot, start[slot]);
        }
        recompute();
    }

    int[] slots() {
        return expertOfSlot.clone();
    }

    /** Returns the expected time of the slowest rank; 1 is a perfect split at the usual speed. */
    double objective() {
        double sum = 0;
        for (int k = 0; k < weight.length; k++) {
            double slowest = 0;
            for (double time : rankTime[k]) {
                slowest = Math.max(slowest, time);
            }
            sum += weight[k] * slowest;
        }
        return sum;
    }

    /** Returns the ranks with the highest potential, the highest first. */
    int[] heaviestRanks(int limit) {
        int[] heaviest = new int[Math.min(limit, ranks)];
        double[] best = new double[heaviest.length];
        Arrays.fill(best, -1);
        for (int rank = 0; rank < ranks; rank++) {
            double potential = potential(rank);
            int at = heaviest.length;
            while (at > 0 && potential > best[at - 1]) {
                at--;
            }
            if (at < heaviest.length) {
                System.arraycopy(best, at, best, at + 1, best.length - at - 1);
                System.arraycopy(heaviest, at, heaviest, at + 1, best.length - at - 1);
                best[at] = potential;
                heaviest[at] = rank;
            }
        }
        return heaviest;
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
        for (int k = 0; k < weight.length; k++) {
            sum += weight[k] * load[k][expert];
        }
        return sum;
    }

    /** Returns the expected load of one replica of an expert. */
    double meanShare(int expert) {
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

    /** Returns the change of the potential if two slots of different ranks exchange their experts. */
    double swapGain(int slotA, int slotB) {
        int rankA = rankOf(slotA);
        int rankB = rankOf(slotB);
        int a = expertOfSlot[slotA];
        int b = expertOfSlot[slotB];
        double change = 0;
        for (int k = 0; k < weight.length; k++) {
            double shift = share[k][b] - share[k][a];
            double timeA = rankTime[k][rankA];
            double timeB = rankTime[k][rankB];
            change += weight[k]
                    * (power(timeA + shift * slowness[k][rankA])
                            - rankPower[k][rankA]
                            + power(timeB - shift * slowness[k][rankB])
                            - rankPower[k][rankB]);
        }
        return -change;
    }

    /** Returns the change of the potential if a slot takes another expert; the old one must have a second replica. */
    double replaceGain(int slot, int expert) {
        double change = 0;
        for (int k = 0; k < weight.length; k++) {
            collect(k, slot, expert);
            for (int i = 0; i < touchedCount; i++) {
                int rank = touched[i];
                double time = rankTime[k][rank];
                change += weight[k] * (power(time + delta[rank] * slowness[k][rank]) - rankPower[k][rank]);
                delta[rank] = 0;
            }
        }
        return -change;
    }

    void swap(int slotA, int slotB) {
        int a = expertOfSlot[slotA];
        int b = expertOfSlot[slotB];
        unlink(slotA);
        unlink(slotB);
        link(slotA, b);
        link(slotB, a);
        recompute();
    }

    void replace(int slot, int expert) {
        unlink(slot);
        link(slot, expert);
        recompute();
    }

    private void collect(int k, int slot, int expert) {
        touchedCount = 0;
        stamp++;
        int old = expertOfSlot[slot];
        double oldShare = share[k][old];
        double oldShareAfter = load[k][old] / (replicas[old] - 1);
        double newShare = share[k][expert];
        double newShareAfter = load[k][expert] / (replicas[expert] + 1);
        touch(rankOf(slot), newShareAfter - oldShareAfter);
        for (int i = 0; i < replicas[old]; i++) {
            touch(rankOf(slotsOfExpert[old][i]), oldShareAfter - oldShare);
        }
        for (int i = 0; i < replicas[expert]; i++) {
            touch(rankOf(slotsOfExpert[expert][i]), newShareAfter - newShare);
        }
    }

    private void touch(int rank, double amount) {
        if (stampOfRank[rank] != stamp) {
            stampOfRank[rank] = stamp;
            touched[touchedCount++] = rank;
        }
        delta[rank] += amount;
    }

    private double potential(int rank) {
        double sum = 0;
        for (int k = 0; k < weight.length; k++) {
            sum += weight[k] * rankPower[k][rank];
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
        for (int k = 0; k < weight.length; k++) {
            double[] times = rankTime[k];
            double[] shares = share[k];
            for (int expert = 0; expert < experts; expert++) {
                shares[expert] = load[k][expert] / replicas[expert];
            }
            Arrays.fill(times, 0);
            for (int slot = 0; slot < expertOfSlot.length; slot++) {
                int expert = expertOfSlot[slot];
                int rank = slot / slotsPerRank;
                times[rank] += shares[expert] * slowness[k][rank];
            }
            for (int rank = 0; rank < ranks; rank++) {
                rankPower[k][rank] = power(times[rank]);
            }
        }
    }

    static double power(double time) {
        double square = time * time;
        double fourth = square * square;
        double eighth = fourth * fourth;
        return eighth * eighth;
    }
}
