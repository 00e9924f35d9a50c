package org.kingcuproad.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against commands whose help leaves out what they do, the units of their options or an example. */
class CommandHelpTest {

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    static Stream<String> names() {
        return KingcuproadctlMain.commands().stream().map(Command::name);
    }

    private ExitCode run(String... arguments) {
        return KingcuproadctlMain.run(
                KingcuproadctlMain.commands(),
                arguments,
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8));
    }

    private List<String> lines() {
        return out.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @ParameterizedTest
    @MethodSource("names")
    void explainsEachCommand(String name) {
        assertThat(run(name, "--help")).isEqualTo(ExitCode.SUCCESS);
        assertThat(lines().getFirst()).as("what it does").isNotBlank();
        assertThat(lines()).anyMatch(line -> line.startsWith("example: kingcuproadctl " + name));
        assertThat(lines())
                .filteredOn(line -> line.matches("  --\\S+-ms .*"))
                .allMatch(line -> line.contains("milliseconds"));
        assertThat(lines())
                .filteredOn(line -> line.matches("  --(\\S+-)?seconds .*"))
                .allMatch(line -> line.contains(" in seconds") || line.contains(" virtual seconds"));
        assertThat(lines())
                .filteredOn(line -> line.startsWith("  --"))
                .allMatch(line -> line.matches("  --\\S+ +\\S.*"));
    }

    @Test
    void listsEachCommandWithALine() {
        assertThat(run("--help")).isEqualTo(ExitCode.SUCCESS);
        assertThat(names()).allMatch(name -> lines().stream().anyMatch(line -> line.matches("  " + name + " +\\S.*")));
    }

    @ParameterizedTest
    @MethodSource("names")
    void namesTheNearestCommand(String name) {
        assertThat(run(name + "x")).isEqualTo(ExitCode.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("did you mean " + name + "?");
    }

    @Test
    void namesTheNearestOption() {
        assertThat(run("load", "--traget", "x")).isEqualTo(ExitCode.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("did you mean --target?");
    }
}
