package org.kingcuproad.runtime.cli;

/** Result of reading a command line. */
public sealed interface ParsedCommandLine {

    /**
     * A command is to be run; its parameters have been set.
     *
     * @param command name of the command
     */
    record Run(String command) implements ParsedCommandLine {}

    /**
     * Help was asked for.
     *
     * @param text text to print
     */
    record Help(String text) implements ParsedCommandLine {}

    /**
     * The command line can't be run.
     *
     * @param message what is wrong, and what was probably meant
     */
    record Mistake(String message) implements ParsedCommandLine {}
}
