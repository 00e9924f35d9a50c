package org.kingcuproad.experiment.placement;

import org.kingcuproad.policy.placement.ExpertMap;
import org.kingcuproad.policy.placement.Scenario;

/** The true load and speeds of a group at one moment. */
final class GroupState {

    private final double[][] shares;
    private final double[] slowness;

    GroupState(double[][] shares, double[] slowness) {
        this.shares = shares;
        this.slowness = slowness;
    }

    double[][] shares() {
        return shares;
    }

    double[] slowness() {
        return slowness;
    }

    Scenario scenario() {
        return new Scenario(1, shares, slowness);
    }

    /**
     * Returns the sums over the layers of the slowest and of the mean rank time; a group of usual speed and perfect
     * split has 1 a layer.
     */
    RankTimes times(ExpertMap map) {
        double slowest = 0;
        double mean = 0;
        int ranks = slowness.length;
        for (int layer = 0; layer < shares.length; layer++) {
            double most = 0;
            double sum = 0;
            for (double time : map.rankTimes(layer, shares[layer], slowness)) {
                most = Math.max(most, time);
                sum += time;
            }
            slowest += most * ranks;
            mean += sum;
        }
        return new RankTimes(slowest / shares.length, mean / shares.length);
    }
}
