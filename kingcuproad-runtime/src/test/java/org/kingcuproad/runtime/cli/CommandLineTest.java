package org.kingcuproad.runtime.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against commands that don't explain themselves: {@code --help} was answered with a parser's exception. */
class CommandLineTest {

    @Parameters(commandDescription = "Send load to an entry")
    private static final class Load {

        @Parameter(names = "--target", required = true, description = "Address of the entry")
        private String target = "";

        @Parameter(names = "--duration-seconds", description = "Length of the run, in seconds")
        private int durationSeconds = 10;
    }

    @Parameters(commandDescription = "Show the status")
    private static final class Status {}

    private final Load load = new Load();
    private final CommandLine commandLine = new CommandLine("tool", Map.of("load", load, "status", new Status()));

    private String help(String... arguments) {
        return ((ParsedCommandLine.Help) commandLine.parse(arguments)).text();
    }

    private String mistake(String... arguments) {
        return ((ParsedCommandLine.Mistake) commandLine.parse(arguments)).message();
    }

    @Test
    void setsTheParametersOfTheChosenCommand() {
        assertThat(commandLine.parse(new String[] {"load", "--target", "http://127.0.0.1:1"}))
                .isEqualTo(new ParsedCommandLine.Run("load"));
        assertThat(load.target).isEqualTo("http://127.0.0.1:1");
        assertThat(load.durationSeconds).isEqualTo(10);
    }

    @Test
    void listsTheCommandsWithALineEach() {
        assertThat(help("--help"))
                .contains("load    Send load to an entry", "status  Show the status")
                .isEqualTo(help("help"));
    }

    @Test
    void explainsACommandWithItsDefaultsAndAnExample() {
        assertThat(help("load", "--help"))
                .contains(
                        "Send load to an entry",
                        "--target            Address of the entry (required)",
                        "--duration-seconds  Length of the run, in seconds (default 10)",
                        "example: tool load --target TARGET");
    }

    @Test
    void namesTheNearestCommandAndOption() {
        assertThat(mistake("statsu")).contains("unknown command statsu; did you mean status?");
        assertThat(mistake("load", "--traget", "x")).contains("load has no option --traget; did you mean --target?");
        assertThat(mistake("load", "--zzzzzzzzzzzz", "x")).doesNotContain("did you mean");
    }

    @Test
    void reportsAMissingOption() {
        assertThat(mistake("load")).contains("--target").contains("see tool load --help");
    }
}
