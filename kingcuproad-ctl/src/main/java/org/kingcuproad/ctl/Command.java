package org.kingcuproad.ctl;

import java.io.PrintStream;
import org.kingcuproad.model.KingcuproadException;

/** One command of {@code kingcuproadctl}; its fields carry JCommander's parameter annotations. */
public interface Command {

    /**
     * Returns the words that select the command.
     *
     * @return the name, such as {@code validate}
     */
    String name();

    /**
     * Runs the command.
     *
     * @param out where results go
     * @param err where messages about failures go
     * @return what the process exits with
     * @throws KingcuproadException if the command fails; the kind decides the exit code
     */
    ExitCode run(PrintStream out, PrintStream err) throws KingcuproadException;
}
