package org.kingcuproad.ctl;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.runtime.cli.CommandLine;
import org.kingcuproad.runtime.cli.ParsedCommandLine;

/** Entry point of the {@code kingcuproadctl} binary. */
public final class KingcuproadctlMain {

    private static final String PROGRAM = "kingcuproadctl";

    private KingcuproadctlMain() {}

    /**
     * Runs one command and exits with its code.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        System.exit(run(commands(), arguments, System.out, System.err).number());
    }

    /**
     * Runs one of the commands.
     *
     * @param commands the commands to choose from
     * @param arguments command line
     * @param out where results go
     * @param err where messages about failures go
     * @return the exit code
     */
    static ExitCode run(List<Command> commands, String[] arguments, PrintStream out, PrintStream err) {
        Map<String, Command> byName = commands.stream().collect(Collectors.toMap(Command::name, Function.identity()));
        return switch (new CommandLine(PROGRAM, byName).parse(arguments)) {
            case ParsedCommandLine.Help help -> {
                out.println(help.text());
                yield ExitCode.SUCCESS;
            }
            case ParsedCommandLine.Mistake mistake -> {
                err.println(mistake.message());
                yield ExitCode.USAGE;
            }
            case ParsedCommandLine.Run run -> runCommand(Objects.requireNonNull(byName.get(run.command())), out, err);
        };
    }

    private static ExitCode runCommand(Command command, PrintStream out, PrintStream err) {
        try {
            return command.run(out, err);
        } catch (KingcuproadException failure) {
            err.println(PROGRAM + ": " + failure.kind().label() + ": " + failure.detail());
            return ExitCode.of(failure.kind());
        }
    }

    static List<Command> commands() {
        return List.of(
                new EmulateEngineCommand(),
                new EmulatePlatformCommand(),
                new EmulateServiceCommand(),
                new ExperimentPlacementCommand(),
                new ExperimentLockstepCommand(),
                new ExperimentRoutingCommand(),
                new ExplainCommand(),
                new LoadCommand(),
                new PromoteCommand(),
                new StatusCommand(),
                new TrialCommand(),
                new ValidateCommand());
    }
}
