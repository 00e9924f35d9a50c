package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against answers that are neither whole nor visibly broken nor honest refusals, with messages of all sizes and
 * shapes. More seeds are played with {@code -Dtest=ShapedTrafficTest -Dshapes.first=1000 -Dshapes.seeds=50}.
 */
class ShapedTrafficTest {

    private static final long FIRST_SEED = Long.getLong("shapes.first", 1);
    private static final long SEEDS = Long.getLong("shapes.seeds", 5);

    /** A client gives an idempotent request up that a gateway has not read after a second. */
    private static final long MAX_WAIT_MS = 1_000;

    static LongStream seeds() {
        return LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS);
    }

    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void givesNoClientAnAnswerThatOnlyLooksComplete(long seed) throws Exception {
        ShapedReport report;
        try (ShapedTraffic traffic = new ShapedTraffic(seed)) {
            report = traffic.play();
        }

        System.out.println(report);
        report.violations().forEach(System.out::println);
        assertThat(report.violations()).as("%s", report).isEmpty();
        assertThat(report.steadyFailures()).as("%s", report).isEmpty();
        assertThat(report.heldUpMs()).as("longest wait in ms, %s", report).isLessThan(MAX_WAIT_MS);
    }
}
