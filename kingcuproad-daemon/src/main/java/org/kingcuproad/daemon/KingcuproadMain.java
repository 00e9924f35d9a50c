package org.kingcuproad.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.List;
import org.kingcuproad.model.KingcuproadException;

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
        List<DaemonCommand> commands = List.of(new EntryCommand(), new AgentCommand());
        JCommander parser = new JCommander(new Object());
        parser.setProgramName(PROGRAM);
        commands.forEach(command -> parser.addCommand(command.name(), command));
        try {
            parser.parse(arguments);
        } catch (ParameterException failure) {
            exit(EXIT_USAGE, String.valueOf(failure.getMessage()));
        }
        commands.stream()
                .filter(command -> command.name().equals(parser.getParsedCommand()))
                .findFirst()
                .ifPresentOrElse(
                        KingcuproadMain::run,
                        () -> exit(EXIT_USAGE, "usage: " + PROGRAM + " entry|agent --settings FILE"));
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
