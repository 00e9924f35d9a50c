package org.kingcuproad.experiment.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import org.kingcuproad.experiment.plot.LinePlot;
import org.kingcuproad.experiment.plot.PlotPoint;
import org.kingcuproad.experiment.plot.PlotSeries;
import org.kingcuproad.model.ModelGroup;
import org.kingcuproad.policy.placement.ExpertMap;

/** Compares policies on inputs, and planner weights on one input. */
public final class PlacementExperiment {

    private static final double[] SWEEP = {0.0625, 0.25, 1, 4, 16, 64, 256};
    private static final double GIB = 1L << 30;

    private final long seed;
    private final long durationMs;

    /**
     * Creates an experiment of the usual length.
     *
     * @param seed seed of inputs and noise
     */
    public PlacementExperiment(long seed) {
        this(seed, PlacementSimulation.DURATION_MS);
    }

    PlacementExperiment(long seed, long durationMs) {
        this.seed = seed;
        this.durationMs = durationMs;
    }

    /**
     * Runs policies on one input for every group of a size.
     *
     * @param size size of the groups
     * @param input the input
     * @param policies the policies
     * @return one report a group
     */
    public List<PlacementReport> compare(GroupSize size, InputKind input, List<PolicyKind> policies) {
        Map<String, Function<ExpertMap, PlacementPolicy>> factories = new LinkedHashMap<>();
        policies.forEach(kind -> factories.put(kind.label(), kind::create));
        return size.groups().stream().map(group -> run(group, input, factories)).toList();
    }

    /**
     * Runs the planner with a range of weights on one input, together with the static map.
     *
     * @param size size of the groups
     * @param input the input
     * @return one report a group; the policies are named after the weight of rebalancing
     */
    public List<PlacementReport> sweep(GroupSize size, InputKind input) {
        Map<String, Function<ExpertMap, PlacementPolicy>> factories = new LinkedHashMap<>();
        factories.put(PolicyKind.STATIC.label(), PolicyKind.STATIC::create);
        for (double weight : SWEEP) {
            factories.put(String.format(Locale.ROOT, "weight-%s", weight), start -> PolicyKind.planner(start, weight));
        }
        return size.groups().stream().map(group -> run(group, input, factories)).toList();
    }

    /**
     * Plots skew over time, one line a policy.
     *
     * @param report the results
     * @return the plot
     */
    public static LinePlot skewPlot(PlacementReport report) {
        LinePlot plot = LinePlot.of(
                report.group() + ", " + report.input() + ", seed " + report.seed(),
                "virtual time in minutes",
                "slowest over mean rank time");
        for (PolicyResult result : report.results()) {
            plot = plot.withSeries(new PlotSeries(result.policy(), result.points()));
        }
        return plot;
    }

    /**
     * Plots skew against weights moved over a sweep.
     *
     * @param reports results of sweeps
     * @return the plot
     */
    public static LinePlot sweepPlot(List<PlacementReport> reports) {
        LinePlot plot = LinePlot.of(
                "skew against cost of rebalancing, by rebalanceWeight",
                "weights moved in GiB",
                "slowest over mean rank time");
        for (PlacementReport report : reports) {
            List<PlotPoint> points = new ArrayList<>();
            for (PolicyResult result : report.results()) {
                if (!result.policy().equals(PolicyKind.STATIC.label())) {
                    points.add(new PlotPoint(result.bytes() / GIB, result.skew()));
                }
            }
            plot = plot.withSeries(new PlotSeries(report.group(), points));
        }
        return plot;
    }

    private PlacementReport run(
            ModelGroup group, InputKind input, Map<String, Function<ExpertMap, PlacementPolicy>> policies) {
        return new PlacementReport(
                group.name(), input.label(), seed, PlacementSimulation.run(group, input, policies, seed, durationMs));
    }
}
