package org.kingcuproad.experiment.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against figures that cannot be reproduced, and against lost targets of the design page, 1.8. */
class RoutingExperimentTest {

    private static final long SEED = 1;
    private static final double CAPACITY = Capacity.requestsPerSecond(SEED);

    @Test
    void sameSeedGivesTheSameFiles(@TempDir Path directory) throws IOException {
        String first = run(directory.resolve("first"));
        assertThat(run(directory.resolve("second"))).isEqualTo(first);
        assertThat(Files.readAllLines(directory.resolve("first").resolve("routing.csv")))
                .hasSize(3)
                .first()
                .isEqualTo(ExperimentRow.HEADER);
        assertThat(directory.resolve("first").resolve("ttft-p99-outage.svg")).exists();
    }

    private static String run(Path directory) throws IOException {
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        new RoutingExperiment(
                        List.of(ExperimentInput.OUTAGE),
                        List.of(ExperimentPolicy.KINGCUPROAD, ExperimentPolicy.RANDOM),
                        List.of(0.5),
                        SEED)
                .run(directory, new PrintStream(printed, true, StandardCharsets.UTF_8));
        return printed.toString(StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @CsvSource({"0.5", "1.0", "1.5"})
    void extraAttemptsInAnOutageStayWithinTheBudget(double load) {
        assertThat(result(ExperimentInput.OUTAGE, load).extraAttemptRatio()).isLessThanOrEqualTo(0.1);
    }

    @Test
    void overloadKeepsGoodput() {
        double full = result(ExperimentInput.STALE, 1.0).goodputPerSecond();
        assertThat(result(ExperimentInput.STALE, 1.5).goodputPerSecond()).isGreaterThanOrEqualTo(0.95 * full);
    }

    @Test
    void smallWorkspacesAreProtected() {
        double quiet = result(ExperimentInput.STALE, 0.8).smallFirstTokenP99Ms();
        assertThat(result(ExperimentInput.NOISY, 0.8).smallFirstTokenP99Ms()).isLessThanOrEqualTo(1.2 * quiet);
    }

    private static RunResult result(ExperimentInput input, double load) {
        return new Simulation(input, ExperimentPolicy.KINGCUPROAD, load * CAPACITY, SEED).run(CAPACITY);
    }
}
