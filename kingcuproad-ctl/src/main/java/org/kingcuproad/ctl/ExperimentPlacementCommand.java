package org.kingcuproad.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.kingcuproad.experiment.placement.GroupSize;
import org.kingcuproad.experiment.placement.InputKind;
import org.kingcuproad.experiment.placement.PlacementExperiment;
import org.kingcuproad.experiment.placement.PlacementReport;
import org.kingcuproad.experiment.placement.PlanTiming;
import org.kingcuproad.experiment.placement.PolicyKind;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;

/** Compares planners of expert placement in virtual time. */
@Parameters(commandDescription = "Compare planners of expert placement in virtual time")
final class ExperimentPlacementCommand implements Command {

    private static final String ALL = "all";
    private static final String SWEEP = "sweep";

    @Parameter(
            names = "--input",
            description = "authority-season, wierzbicki-season, sudden-shift, alternating, flicker,"
                    + " straggler-constant, straggler-bursts or all")
    private String input = ALL;

    @Parameter(
            names = "--policy",
            description = "static, periodic, threshold, planner-authority, planner-wierzbicki, clairvoyant, all,"
                    + " or sweep for the planner over a range of weights")
    private String policy = ALL;

    @Parameter(names = "--seed", description = "Seed of inputs and noise")
    private long seed = 1;

    @Parameter(names = "--group", description = "today or large")
    private String group = GroupSize.TODAY.label();

    @Parameter(names = "--out", description = "Directory for the CSV file and the plots")
    private Path out = Path.of(".");

    @Parameter(
            names = "--plan-runs",
            description = "Time this many plans of the largest group instead of the experiment")
    private int planRuns;

    @Override
    public String name() {
        return "experiment-placement";
    }

    @Override
    public ExitCode run(PrintStream output, PrintStream errors) throws KingcuproadException {
        if (planRuns > 0) {
            PlanTiming.measure(planRuns, seed, ManagementFactory.getThreadMXBean()::getCurrentThreadCpuTime)
                    .forEach(output::println);
            return ExitCode.SUCCESS;
        }
        GroupSize size = GroupSize.ofLabel(group).orElseThrow(() -> unknown("group", group));
        List<InputKind> inputs = select(input, InputKind::ofLabel, InputKind.values(), "input");
        List<PlacementReport> reports = new ArrayList<>();
        PlacementExperiment experiment = new PlacementExperiment(seed);
        for (InputKind kind : inputs) {
            List<PlacementReport> found = policy.equals(SWEEP)
                    ? experiment.sweep(size, kind)
                    : experiment.compare(
                            size, kind, select(policy, PolicyKind::ofLabel, PolicyKind.values(), "policy"));
            reports.addAll(found);
            write(kind, found);
        }
        List<String> lines = new ArrayList<>(List.of(PlacementReport.header()));
        reports.forEach(report -> lines.addAll(report.lines()));
        writeFile("placement-" + group + "-" + input + "-" + policy + ".csv", String.join("\n", lines) + "\n");
        TextTable.of(lines).forEach(output::println);
        return ExitCode.SUCCESS;
    }

    private void write(InputKind kind, List<PlacementReport> reports) throws KingcuproadException {
        if (policy.equals(SWEEP)) {
            writeFile(
                    "placement-" + group + "-" + kind.label() + "-sweep.svg",
                    PlacementExperiment.sweepPlot(reports).toSvg());
            return;
        }
        for (PlacementReport report : reports) {
            writeFile(
                    "placement-" + report.group() + "-" + kind.label() + "-" + policy + ".svg",
                    PlacementExperiment.skewPlot(report).toSvg());
        }
    }

    private void writeFile(String file, String text) throws KingcuproadException {
        try {
            Files.createDirectories(out);
            Files.writeString(out.resolve(file), text);
        } catch (IOException failure) {
            throw new KingcuproadException(ErrorKind.INTERNAL, "cannot write " + out.resolve(file), failure);
        }
    }

    private static <T> List<T> select(String name, Function<String, Optional<T>> find, T[] all, String what)
            throws KingcuproadException {
        if (name.equals(ALL)) {
            return List.of(all);
        }
        return List.of(find.apply(name).orElseThrow(() -> unknown(what, name)));
    }

    private static KingcuproadException unknown(String what, String name) {
        return new KingcuproadException(ErrorKind.BAD_REQUEST, "unknown " + what + " " + name);
    }
}
