package org.kingcuproad.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.kingcuproad.emulator.platform.Faults;
import org.kingcuproad.emulator.platform.Outage;
import org.kingcuproad.emulator.platform.PlatformStandIn;

/** Guards against commands that hide a lost race or a mistake, or that repeat a write under another operation id. */
class AdminCommandsTest {

    private static final String DOCUMENT = """
            {
              "environment": "sample", "region": "new-england", "dataCentres": ["lowell"],
              "placement": {
                "skewWeight": 1, "rebalanceWeight": 1, "weightStoreBytesPerSecond": 1, "expertBytes": 1
              }
            }
            """;

    @TempDir
    private Path directory = Path.of("");

    private PlatformStandIn platform;
    private AdminServer server;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @BeforeEach
    void start() throws Exception {
        platform = PlatformStandIn.start("127.0.0.1", 0);
        server = new AdminServer(platform.url());
    }

    @AfterEach
    void stop() {
        server.close();
        platform.close();
    }

    @Test
    void triesPromotesAndShowsTheRevisions() throws Exception {
        assertThat(admin("trial", file(DOCUMENT), "--base-revision", "0", "--json"))
                .isEqualTo(ExitCode.SUCCESS);
        assertThat(out()).isEqualTo("{\"revision\":1}");
        assertThat(promote(1, 0)).isEqualTo(ExitCode.SUCCESS);
        assertThat(admin("status", "--environment", "sample")).isEqualTo(ExitCode.SUCCESS);
        assertThat(out()).contains("trial.revision: 1", "production.revision: 2", "entry.revision: 7");
    }

    @Test
    void aLostRaceEndsWithBothRevisions() throws Exception {
        admin("trial", file(DOCUMENT), "--base-revision", "0");
        assertThat(admin("trial", file(DOCUMENT), "--base-revision", "0")).isEqualTo(ExitCode.CONFLICT);
        assertThat(err()).contains("has revision 1", "names 0");
        out();
        assertThat(admin("trial", file(DOCUMENT), "--base-revision", "9", "--json"))
                .isEqualTo(ExitCode.CONFLICT);
        JsonNode conflict = new ObjectMapper().readTree(out());
        assertThat(conflict.path("expectedRevision").asLong()).isEqualTo(9);
        assertThat(conflict.path("currentRevision").asLong()).isEqualTo(1);
    }

    @Test
    void aLostAnswerIsSettledByRepeatingTheCall() throws Exception {
        server.loseAnswers(2);
        assertThat(admin("trial", file(DOCUMENT), "--base-revision", "0", "--json"))
                .isEqualTo(ExitCode.SUCCESS);
        assertThat(out()).isEqualTo("{\"revision\":1}");
        server.loseAnswers(1);
        platform.setFaults(Faults.NONE.withLostWriteResponses(1));
        assertThat(promote(1, 0)).isEqualTo(ExitCode.SUCCESS);
    }

    @Test
    void aTrialThatIsNoLongerCurrentIsNotPromoted() throws Exception {
        admin("trial", file(DOCUMENT), "--base-revision", "0");
        admin("trial", file(DOCUMENT.replace("lowell", "lawrence")), "--base-revision", "1");
        assertThat(promote(1, 0)).isEqualTo(ExitCode.CONFLICT);
    }

    @Test
    void mistakesAreListedBeforeAnyCall() throws Exception {
        assertThat(admin("trial", file("{\"region\": 1}"), "--base-revision", "0"))
                .isEqualTo(ExitCode.INVALID);
        assertThat(err()).contains("$.region: expected", "$.environment: expected");
        assertThat(run("validate", file("{\"region\": 1}"), "--json")).isEqualTo(ExitCode.INVALID);
        assertThat(new ObjectMapper().readTree(out()).path("mistakes")).hasSizeGreaterThan(3);
        assertThat(run("validate", file(DOCUMENT))).isEqualTo(ExitCode.SUCCESS);
        assertThat(run("validate", file(DOCUMENT), "--kind", "entry")).isEqualTo(ExitCode.INVALID);
    }

    @Test
    void anOutageAndAWrongCredentialHaveTheirExitCodes() throws Exception {
        platform.setFaults(Faults.NONE.withOutage(Outage.REFUSE));
        assertThat(admin("status", "--environment", "sample", "--timeout-seconds", "0"))
                .isEqualTo(ExitCode.UNAVAILABLE);
        assertThat(run("status", "--entry", server.url(), "--credential", "wrong"))
                .isEqualTo(ExitCode.DENIED);
        server.close();
        assertThat(admin("status", "--timeout-seconds", "0")).isEqualTo(ExitCode.UNAVAILABLE);
    }

    @Test
    void explainPassesTheRequestOn() throws Exception {
        assertThat(admin("explain", "--workspace", "clerks", "--json")).isEqualTo(ExitCode.SUCCESS);
        assertThat(out()).isEqualTo("{\"workspace\":\"clerks\"}");
    }

    private ExitCode promote(long trialRevision, long productionRevision) {
        return admin(
                "promote",
                "--environment",
                "sample",
                "--trial-revision",
                String.valueOf(trialRevision),
                "--production-revision",
                String.valueOf(productionRevision));
    }

    private ExitCode admin(String... arguments) {
        return run(Stream.concat(
                        Stream.of(arguments),
                        Stream.of("--entry", server.url(), "--credential", AdminServer.CREDENTIAL))
                .toArray(String[]::new));
    }

    private ExitCode run(String... arguments) {
        List<Command> commands = List.of(
                new ValidateCommand(),
                new TrialCommand(),
                new PromoteCommand(),
                new StatusCommand(),
                new ExplainCommand());
        return KingcuproadctlMain.run(commands, arguments, new PrintStream(out, true), new PrintStream(err, true));
    }

    private String file(String content) throws Exception {
        return Files.writeString(directory.resolve("environment.jsonc"), content)
                .toString();
    }

    private String out() {
        return take(out);
    }

    private String err() {
        return take(err);
    }

    private static String take(ByteArrayOutputStream stream) {
        String text = stream.toString(StandardCharsets.UTF_8).strip();
        stream.reset();
        return text;
    }
}
