package org.kingcuproad.experiment.placement;

/**
 * Rank times of a step, averaged over the layers, in units of the time of a perfect split at the usual speed.
 *
 * @param slowest time of the slowest rank
 * @param mean mean time of the ranks
 */
record RankTimes(double slowest, double mean) {

    double skew() {
        return slowest / mean;
    }
}
