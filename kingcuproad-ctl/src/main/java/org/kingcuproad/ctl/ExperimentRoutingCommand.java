package org.kingcuproad.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.kingcuproad.experiment.routing.DecisionCost;
import org.kingcuproad.experiment.routing.ExperimentInput;
import org.kingcuproad.experiment.routing.ExperimentPolicy;
import org.kingcuproad.experiment.routing.RoutingExperiment;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;

/** Runs the routing and admission experiment in virtual time. */
@Parameters(commandDescription = "Compare routing policies in virtual time")
public final class ExperimentRoutingCommand implements Command {

    private static final String ALL = "all";

    @Parameter(names = "--input", description = "steady, stale, straggler, lost, noisy, outage or all")
    private String input = ALL;

    @Parameter(
            names = "--policy",
            description = "kingcuproad, random, round-robin, least-connections, prefix-hash or all")
    private String policy = ALL;

    @Parameter(names = "--load", description = "Offered loads as ratios of the capacity")
    private List<Double> loads = List.of(0.5, 0.8, 1.0, 1.5);

    @Parameter(names = "--seed", description = "Seed of all draws")
    private long seed = 1;

    @Parameter(names = "--out", description = "Directory for the CSV file and the plots")
    private String directory = "experiment-routing";

    @Parameter(names = "--cost", description = "Measure the cost of decisions instead")
    private boolean cost;

    @Override
    public String name() {
        return "experiment-routing";
    }

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws KingcuproadException {
        if (cost) {
            new DecisionCost(seed).run(out);
            return ExitCode.SUCCESS;
        }
        List<ExperimentInput> inputs = select(input, "input", ExperimentInput::ofLabel, ExperimentInput.values());
        List<ExperimentPolicy> policies =
                select(policy, "policy", ExperimentPolicy::ofLabel, ExperimentPolicy.values());
        try {
            new RoutingExperiment(inputs, policies, loads, seed).run(Path.of(directory), out);
        } catch (IOException failure) {
            throw new KingcuproadException(ErrorKind.INTERNAL, "cannot write to " + directory, failure);
        }
        return ExitCode.SUCCESS;
    }

    private static <T> List<T> select(String label, String option, Function<String, Optional<T>> ofLabel, T[] all)
            throws KingcuproadException {
        if (label.equals(ALL)) {
            return Arrays.asList(all);
        }
        return List.of(ofLabel.apply(label)
                .orElseThrow(
                        () -> new KingcuproadException(ErrorKind.BAD_REQUEST, "unknown " + option + ": " + label)));
    }
}
