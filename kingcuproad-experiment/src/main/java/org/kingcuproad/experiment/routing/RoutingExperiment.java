package org.kingcuproad.experiment.routing;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Runs policies against inputs and loads, and writes the figures and plots. */
public final class RoutingExperiment {

    private final List<ExperimentInput> inputs;
    private final List<ExperimentPolicy> policies;
    private final List<Double> loads;
    private final long seed;

    /**
     * Creates an experiment.
     *
     * @param inputs what happens in the runs
     * @param policies the policies to compare
     * @param loads offered loads as ratios of the capacity
     * @param seed seed of all draws
     */
    public RoutingExperiment(
            List<ExperimentInput> inputs, List<ExperimentPolicy> policies, List<Double> loads, long seed) {
        this.inputs = List.copyOf(inputs);
        this.policies = List.copyOf(policies);
        this.loads = List.copyOf(loads);
        this.seed = seed;
    }

    /**
     * Runs every combination, prints each row and the targets, and writes {@code routing.csv} and the plots.
     *
     * @param directory where the files go; it is created if it does not exist
     * @param out where rows and targets are printed
     * @throws IOException if a file cannot be written
     */
    public void run(Path directory, PrintStream out) throws IOException {
        Files.createDirectories(directory);
        double capacity = Capacity.requestsPerSecond(seed);
        out.printf(Locale.ROOT, "capacity %.1f requests/s%n", capacity);
        out.println(ExperimentRow.HEADER);
        List<ExperimentRow> rows = new ArrayList<>();
        for (ExperimentInput input : inputs) {
            for (ExperimentPolicy policy : policies) {
                for (double load : loads) {
                    RunResult result = new Simulation(input, policy, load * capacity, seed).run(capacity);
                    ExperimentRow row = new ExperimentRow(input, policy, load, seed, result);
                    rows.add(row);
                    out.println(row.toCsv());
                }
            }
        }
        List<String> lines = new ArrayList<>();
        lines.add(ExperimentRow.HEADER);
        rows.forEach(row -> lines.add(row.toCsv()));
        Files.write(directory.resolve("routing.csv"), lines);
        ExperimentPlots.write(directory, rows);
        new TargetReport(rows).lines().forEach(out::println);
    }
}
