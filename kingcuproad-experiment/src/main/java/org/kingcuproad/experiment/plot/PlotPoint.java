package org.kingcuproad.experiment.plot;

/**
 * A point of a line.
 *
 * @param x horizontal value
 * @param y vertical value
 */
public record PlotPoint(double x, double y) {}
