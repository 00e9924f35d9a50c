package org.kingcuproad.experiment.lockstep;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.kingcuproad.experiment.plot.LinePlot;
import org.kingcuproad.experiment.plot.PlotPoint;
import org.kingcuproad.experiment.plot.PlotSeries;

/** Compares policies over a range of loads and writes a table and a plot. */
public final class LockstepExperiment {

    private final EngineModel model;
    private final List<Double> loads;
    private final double seconds;
    private final List<Long> seeds;

    /**
     * Creates an experiment.
     *
     * @param model the group
     * @param loads offered loads, in streams a second
     * @param seconds length of each run
     * @param seeds seeds, each of which is played with each policy and load
     */
    public LockstepExperiment(EngineModel model, List<Double> loads, double seconds, List<Long> seeds) {
        this.model = model;
        this.loads = List.copyOf(loads);
        this.seconds = seconds;
        this.seeds = List.copyOf(seeds);
    }

    /**
     * Runs the experiment.
     *
     * @param directory where the table and the plot go
     * @param out receives the table too
     * @throws IOException if the files can't be written
     */
    public void run(Path directory, PrintStream out) throws IOException {
        List<String> lines = new ArrayList<>(
                List.of("policy,streams_per_s,seed,asked,on_time,late,refused,abandoned,goodput_per_s"));
        LinePlot plot = LinePlot.of("Goodput of one group", "offered streams a second", "goodput a second");
        for (LockstepPolicy policy : List.of(LockstepPolicy.CURRENT, LockstepPolicy.FIRST_COME)) {
            List<PlotPoint> points = new ArrayList<>();
            for (double load : loads) {
                double sum = 0;
                for (long seed : seeds) {
                    LockstepResult result = LockstepSimulation.run(model, policy, load, seconds, seed);
                    sum += result.goodput();
                    lines.add(String.format(Locale.ROOT, "%s,%.1f,%d,%s", policy, load, seed, result.csv()));
                }
                points.add(new PlotPoint(load, sum / seeds.size()));
            }
            plot = plot.withSeries(new PlotSeries(policy.name().toLowerCase(Locale.ROOT), points));
        }
        Files.createDirectories(directory);
        Files.write(directory.resolve("lockstep.csv"), lines);
        Files.writeString(directory.resolve("lockstep.svg"), plot.toSvg());
        lines.forEach(out::println);
    }
}
