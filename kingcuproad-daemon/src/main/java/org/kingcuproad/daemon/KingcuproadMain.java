package org.kingcuproad.daemon;

import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.runtime.cli.CommandLine;
import org.kingcuproad.runtime.cli.ParsedCommandLine;

/** Entry point of the {@code kingcuproad} binary. */
public final class KingcuproadMain {

    private static final String PROGRAM = "kingcuproad";
    private static final int EXIT_FAILURE = 1;
    private static final int EXIT_USAGE = 2;

    private KingcuproadMain() {}

    /**
     * Runs a daemon until the process is told to stop.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        Map<String, DaemonCommand> commands = Stream.of(new EntryCommand(), new AgentCommand())
                .collect(Collectors.toMap(DaemonCommand::name, Function.identity()));
        switch (new CommandLine(PROGRAM, commands).parse(arguments)) {
            case ParsedCommandLine.Help help -> System.out.println(help.text());
            case ParsedCommandLine.Mistake mistake -> {
                System.err.println(mistake.message());
                System.exit(EXIT_USAGE);
            }
            case ParsedCommandLine.Run run -> run(Objects.requireNonNull(commands.get(run.command())));
        }
    }

    private static void run(DaemonCommand command) {
        try {
            Runnable stop = command.start();
            Runtime.getRuntime().addShutdownHook(new Thread(stop, "graceful-shutdown"));
        } catch (KingcuproadException failure) {
            exit(EXIT_FAILURE, failure.detail());
        }
    }

    private static void exit(int code, String message) {
        System.err.println(PROGRAM + ": " + message);
        System.exit(code);
    }
}
