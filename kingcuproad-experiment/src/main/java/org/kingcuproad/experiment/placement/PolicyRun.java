package org.kingcuproad.experiment.placement;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.experiment.plot.PlotPoint;
import org.kingcuproad.policy.placement.ExpertMap;
import org.kingcuproad.policy.placement.LoadSample;

/** One policy on its own copy of the group, advanced tick by tick. */
final class PolicyRun {

    /** Share of the step time that does not depend on the experts, as the planner assumes it. */
    private static final double OTHER_SHARE = 0.4;

    /** Share by which steps take longer while weights are loaded, as the planner assumes it. */
    private static final double MOVE_SLOWDOWN = 0.1;

    /** Step time of a group with a perfect split. */
    private static final double STEP_SECONDS = 0.03;

    /** Time left out of the skew figures, in which every policy leaves the first map. */
    private static final long WARM_UP_MS = 30 * 60_000L;

    private static final int PLOT_EVERY = 20;

    private final String name;
    private final PlacementPolicy policy;
    private ExpertMap map;
    private @Nullable Transfer underway;
    private double slowestSum;
    private double meanSum;
    private double wholeSlowestSum;
    private double wholeMeanSum;
    private double steps;
    private double stepsLost;
    private long bytes;
    private int pieces;
    private int ticks;
    private double plottedSlowest;
    private double plottedMean;
    private final List<PlotPoint> points = new ArrayList<>();

    PolicyRun(String name, PlacementPolicy policy, ExpertMap start) {
        this.name = name;
        this.policy = policy;
        this.map = start;
    }

    void tick(GroupState truth, List<LoadSample> arrived, long nowMs, long tickMs) {
        arrived.forEach(policy::observe);
        finish(nowMs);
        if (underway == null) {
            policy.next(map, nowMs).ifPresent(this::begin);
        }
        map = policy.instantMap(map, truth);
        RankTimes times = truth.times(map);
        count(times, nowMs);
        plot(times, nowMs);
        double slowShare = underway == null ? 0 : Math.min(1, (underway.readyAtMs() - nowMs) / (double) tickMs);
        double possible = tickMs / 1000.0 / (STEP_SECONDS * (OTHER_SHARE + (1 - OTHER_SHARE) * times.slowest()));
        double made = possible / (1 + MOVE_SLOWDOWN * slowShare);
        steps += made;
        stepsLost += possible - made;
    }

    PolicyResult result() {
        return new PolicyResult(
                name,
                slowestSum / meanSum,
                wholeSlowestSum / wholeMeanSum,
                bytes,
                pieces,
                steps,
                stepsLost,
                List.copyOf(points));
    }

    private void finish(long nowMs) {
        Transfer done = underway;
        if (done != null && nowMs >= done.readyAtMs()) {
            map = done.next();
            underway = null;
            policy.applied();
        }
    }

    private void begin(Transfer transfer) {
        underway = transfer;
        bytes += transfer.bytes();
        pieces++;
    }

    private void count(RankTimes times, long nowMs) {
        wholeSlowestSum += times.slowest();
        wholeMeanSum += times.mean();
        if (nowMs >= WARM_UP_MS) {
            slowestSum += times.slowest();
            meanSum += times.mean();
        }
    }

    private void plot(RankTimes times, long nowMs) {
        plottedSlowest += times.slowest();
        plottedMean += times.mean();
        ticks++;
        if (ticks % PLOT_EVERY == 0) {
            points.add(new PlotPoint(nowMs / 60_000.0, plottedSlowest / plottedMean));
            plottedSlowest = 0;
            plottedMean = 0;
        }
    }
}
