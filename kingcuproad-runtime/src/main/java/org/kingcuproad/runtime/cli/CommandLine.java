package org.kingcuproad.runtime.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.ParameterException;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** Command line of a program that has commands, which are objects with JCommander's annotations. */
public final class CommandLine {

    private static final Set<String> HELP_OPTIONS = Set.of("--help", "-h");
    private static final String HELP_COMMAND = "help";
    private static final String OPTION_PREFIX = "--";

    private final String program;
    private final TreeMap<String, Object> commands;

    /**
     * Creates the command line of a program.
     *
     * @param program name of the program
     * @param commands the commands by name
     */
    public CommandLine(String program, Map<String, ?> commands) {
        this.program = program;
        this.commands = new TreeMap<>(commands);
    }

    /**
     * Reads a command line and sets the parameters of the chosen command.
     *
     * @param arguments the arguments of the program
     * @return the command to run, help, or a mistake
     */
    public ParsedCommandLine parse(String[] arguments) {
        if (arguments.length == 0) {
            return new ParsedCommandLine.Mistake(usage());
        }
        String first = arguments[0];
        if (HELP_OPTIONS.contains(first) || first.equals(HELP_COMMAND)) {
            return new ParsedCommandLine.Help(usage());
        }
        if (!commands.containsKey(first)) {
            return mistake("unknown command " + first, NearestName.find(first, commands.keySet()), "--help");
        }
        JCommander parser = newParser();
        JCommander command = Objects.requireNonNull(parser.getCommands().get(first));
        List<String> options = Arrays.asList(arguments).subList(1, arguments.length);
        if (options.stream().anyMatch(HELP_OPTIONS::contains)) {
            return new ParsedCommandLine.Help(usage(first, command));
        }
        Set<String> known = optionNames(command);
        Optional<String> unknown = options.stream()
                .filter(option -> option.startsWith(OPTION_PREFIX) && !known.contains(option))
                .findFirst();
        if (unknown.isPresent()) {
            return mistake(
                    first + " has no option " + unknown.get(),
                    NearestName.find(unknown.get(), known),
                    first + " --help");
        }
        Optional<String> missing = missingOption(command, options);
        if (missing.isPresent()) {
            return mistake(first + " needs the option " + missing.get(), Optional.empty(), first + " --help");
        }
        try {
            parser.parse(arguments);
        } catch (ParameterException failure) {
            return mistake(String.valueOf(failure.getMessage()), Optional.empty(), first + " --help");
        }
        return new ParsedCommandLine.Run(first);
    }

    private ParsedCommandLine mistake(String what, Optional<String> nearest, String helpArguments) {
        String hint = nearest.map(name -> "; did you mean " + name + "?").orElse("");
        return new ParsedCommandLine.Mistake(
                program + ": " + what + hint + System.lineSeparator() + "see " + program + " " + helpArguments);
    }

    private JCommander newParser() {
        JCommander parser = new JCommander(new Object());
        parser.setProgramName(program);
        commands.forEach(parser::addCommand);
        return parser;
    }

    private static Optional<String> missingOption(JCommander command, List<String> options) {
        return command.getParameters().stream()
                .filter(parameter -> parameter.getParameter().required())
                .filter(parameter ->
                        Arrays.stream(parameter.getParameter().names()).noneMatch(options::contains))
                .map(ParameterDescription::getLongestName)
                .sorted()
                .findFirst();
    }

    private static Set<String> optionNames(JCommander command) {
        return command.getParameters().stream()
                .flatMap(parameter -> Arrays.stream(parameter.getParameter().names()))
                .collect(Collectors.toCollection(TreeSet::new));
    }

    private String usage() {
        JCommander parser = newParser();
        int width = commands.keySet().stream().mapToInt(String::length).max().orElse(0);
        String list = commands.keySet().stream()
                .map(name -> "  " + pad(name, width) + "  "
                        + parser.getUsageFormatter().getCommandDescription(name))
                .collect(Collectors.joining(System.lineSeparator()));
        return "usage: " + program + " COMMAND [OPTIONS]" + System.lineSeparator() + list + System.lineSeparator()
                + "options of a command: " + program + " COMMAND --help";
    }

    private String usage(String name, JCommander command) {
        List<ParameterDescription> options = command.getParameters().stream()
                .sorted(Comparator.comparing(ParameterDescription::getLongestName))
                .toList();
        int width = options.stream()
                .mapToInt(option -> option.getLongestName().length())
                .max()
                .orElse(0);
        StringBuilder text = new StringBuilder();
        text.append(newParser().getUsageFormatter().getCommandDescription(name)).append(System.lineSeparator());
        text.append("options:").append(System.lineSeparator());
        options.forEach(option -> text.append("  ")
                .append(pad(option.getLongestName(), width))
                .append("  ")
                .append(option.getDescription())
                .append(note(option))
                .append(System.lineSeparator()));
        text.append("example: ").append(example(name, options));
        String argument = command.getMainParameterDescription();
        return argument == null ? text.toString() : text + " FILE" + System.lineSeparator() + "FILE: " + argument;
    }

    private static String note(ParameterDescription option) {
        if (option.getParameter().required()) {
            return " (required)";
        }
        Object value = option.getDefault();
        return value == null || value.toString().isEmpty() || value instanceof Boolean
                ? ""
                : " (default " + value + ")";
    }

    private String example(String name, List<ParameterDescription> options) {
        return options.stream()
                .filter(option -> option.getParameter().required())
                .map(option -> " " + option.getLongestName() + " " + placeholder(option))
                .collect(Collectors.joining("", program + " " + name, ""));
    }

    private static String placeholder(ParameterDescription option) {
        return option.getLongestName()
                .substring(OPTION_PREFIX.length())
                .replace('-', '_')
                .toUpperCase(Locale.ROOT);
    }

    private static String pad(String text, int width) {
        return text + " ".repeat(width - text.length());
    }
}
