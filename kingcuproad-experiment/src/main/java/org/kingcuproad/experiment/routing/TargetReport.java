package org.kingcuproad.experiment.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Compares results with the targets of the design page, 1.8. */
final class TargetReport {

    private static final double FULL_LOAD = 1.0;
    private static final double OVERLOAD = 1.5;
    private static final double MIN_OVERLOAD_GOODPUT = 0.95;
    private static final double MAX_NOISE_FACTOR = 1.2;
    private static final double MAX_OF_BEST_BASELINE = 0.7;
    private static final double MAX_EXTRA_ATTEMPTS = 0.1;

    private final List<ExperimentRow> rows;

    TargetReport(List<ExperimentRow> rows) {
        this.rows = rows;
    }

    /** Returns one line for each target and load whose rows are present. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        for (ExperimentInput input : ExperimentInput.values()) {
            goodput(input).ifPresent(lines::add);
        }
        for (ExperimentRow row : own(ExperimentInput.NOISY)) {
            noise(row).ifPresent(lines::add);
        }
        for (ExperimentRow row : own(ExperimentInput.STALE)) {
            baseline(row).ifPresent(lines::add);
        }
        for (ExperimentRow row : own(ExperimentInput.OUTAGE)) {
            double ratio = row.result().extraAttemptRatio();
            lines.add(line("extra attempts in an outage", row.load(), ratio, "at most", MAX_EXTRA_ATTEMPTS));
        }
        return lines;
    }

    private Optional<String> goodput(ExperimentInput input) {
        if (input == ExperimentInput.OUTAGE) {
            return Optional.empty();
        }
        return find(input, ExperimentPolicy.KINGCUPROAD, FULL_LOAD)
                .flatMap(full -> find(input, ExperimentPolicy.KINGCUPROAD, OVERLOAD)
                        .map(over -> line(
                                "goodput at 1.5 over goodput at 1.0, " + input.label(),
                                OVERLOAD,
                                over.result().goodputPerSecond() / full.result().goodputPerSecond(),
                                "at least",
                                MIN_OVERLOAD_GOODPUT)));
    }

    private Optional<String> noise(ExperimentRow noisy) {
        return find(ExperimentInput.STALE, ExperimentPolicy.KINGCUPROAD, noisy.load())
                .map(quiet -> noise(
                        noisy.load(),
                        noisy.result().smallFirstTokenP99Ms(),
                        quiet.result().smallFirstTokenP99Ms()));
    }

    /**
     * Without the noisy workspace, more than one in a hundred is refused under overload, so no ratio tells anything.
     */
    private static String noise(double load, double noisyMs, double quietMs) {
        String measure = "small workspaces' p99 over p99 without the noisy one";
        return quietMs >= Measures.NEVER_MICROS / 1e3
                ? String.format(Locale.ROOT, "target NOT MEASURABLE: load %.2f, %s", load, measure)
                : line(measure, load, noisyMs / quietMs, "at most", MAX_NOISE_FACTOR);
    }

    private Optional<String> baseline(ExperimentRow own) {
        return rows.stream()
                .filter(row -> row.input() == own.input() && row.load() == own.load())
                .filter(row -> row.policy() != ExperimentPolicy.KINGCUPROAD)
                .min(Comparator.comparingDouble(row -> row.result().offeredFirstTokenP99Ms()))
                .map(best -> line(
                        "p99 time to first token over that of " + best.policy().label() + ", 2 s reports",
                        own.load(),
                        own.result().offeredFirstTokenP99Ms() / best.result().offeredFirstTokenP99Ms(),
                        "at most",
                        MAX_OF_BEST_BASELINE));
    }

    private List<ExperimentRow> own(ExperimentInput input) {
        return rows.stream()
                .filter(row -> row.input() == input && row.policy() == ExperimentPolicy.KINGCUPROAD)
                .toList();
    }

    private Optional<ExperimentRow> find(ExperimentInput input, ExperimentPolicy policy, double load) {
        return rows.stream()
                .filter(row -> row.input() == input && row.policy() == policy && row.load() == load)
                .findFirst();
    }

    private static String line(String measure, double load, double value, String relation, double bound) {
        boolean met = relation.equals("at least") ? value >= bound : value <= bound;
        return String.format(
                Locale.ROOT,
                "target %s: load %.2f, %s: %.3f, %s %.2f",
                met ? "met" : "NOT MET",
                load,
                measure,
                value,
                relation,
                bound);
    }
}
