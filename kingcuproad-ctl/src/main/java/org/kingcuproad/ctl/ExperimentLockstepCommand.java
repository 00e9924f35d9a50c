package org.kingcuproad.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.kingcuproad.experiment.lockstep.EngineModel;
import org.kingcuproad.experiment.lockstep.LockstepExperiment;
import org.kingcuproad.experiment.lockstep.ScarcityExperiment;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;

/** Plays overload on gateways before one group of engines in lock-step, in virtual time. */
@Parameters(commandDescription = "Compare queueing and refusing before a group in lock-step")
public final class ExperimentLockstepCommand implements Command {

    @Parameter(names = "--load", description = "Offered loads in streams a second")
    private List<Double> loads = List.of(20.0, 30.0, 40.0, 45.0, 50.0, 60.0, 67.5, 90.0);

    @Parameter(names = "--seconds", description = "Length of each run in virtual seconds")
    private double seconds = 30;

    @Parameter(names = "--seed", description = "Seeds of the draws")
    private List<Long> seeds = List.of(1L, 2L, 3L);

    @Parameter(names = "--out", description = "Directory for the CSV file and the plot")
    private String directory = "experiment-lockstep";

    @Override
    public String name() {
        return "experiment-lockstep";
    }

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws KingcuproadException {
        try {
            new LockstepExperiment(EngineModel.SHEET, loads, seconds, seeds).run(Path.of(directory), out);
            new ScarcityExperiment(EngineModel.LARGE_GROUP, seeds).run(Path.of(directory), out);
        } catch (IOException failure) {
            throw new KingcuproadException(ErrorKind.INTERNAL, "cannot write to " + directory, failure);
        }
        return ExitCode.SUCCESS;
    }
}
