package org.kingcuproad.experiment.placement;

import java.util.List;
import org.kingcuproad.experiment.plot.PlotPoint;

/**
 * Figures of one policy on one input.
 *
 * @param policy name of the policy
 * @param skew slowest over mean rank time after the warm-up
 * @param wholeSkew slowest over mean rank time of the whole run
 * @param bytes weights moved
 * @param pieces map changes
 * @param steps steps made
 * @param stepsLost steps not made because of moves
 * @param points skew over time, in minutes
 */
public record PolicyResult(
        String policy,
        double skew,
        double wholeSkew,
        long bytes,
        int pieces,
        double steps,
        double stepsLost,
        List<PlotPoint> points) {

    /** Copies the list, so that the value is immutable. */
    public PolicyResult {
        points = List.copyOf(points);
    }
}
