package org.kingcuproad.experiment.plot;

import java.util.List;

/**
 * One line of a plot.
 *
 * @param name name in the legend
 * @param points the points, in drawing order
 */
public record PlotSeries(String name, List<PlotPoint> points) {

    /** Copies the list, so that the value is immutable. */
    public PlotSeries {
        points = List.copyOf(points);
    }
}
