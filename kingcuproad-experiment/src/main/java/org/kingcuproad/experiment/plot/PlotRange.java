package org.kingcuproad.experiment.plot;

import java.util.DoubleSummaryStatistics;
import java.util.Locale;

/**
 * Range of values along an axis.
 *
 * @param least value at the start of the axis
 * @param most value at its end
 */
record PlotRange(double least, double most) {

    /** From this span on, labels need no decimals to differ. */
    private static final double TENS = 20;

    static PlotRange of(DoubleSummaryStatistics values) {
        if (values.getCount() == 0) {
            return new PlotRange(0, 1);
        }
        double span = values.getMax() - values.getMin();
        return new PlotRange(values.getMin(), span > 0 ? values.getMax() : values.getMin() + 1);
    }

    double share(double value) {
        return (value - least) / (most - least);
    }

    String label(double share) {
        double value = least + share * (most - least);
        return String.format(Locale.ROOT, Math.abs(most - least) >= TENS ? "%.0f" : "%.2f", value);
    }
}
