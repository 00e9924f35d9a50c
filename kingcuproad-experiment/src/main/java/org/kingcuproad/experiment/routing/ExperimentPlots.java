package org.kingcuproad.experiment.routing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Writes one plot of latency and one of goodput for each input. */
final class ExperimentPlots {

    private ExperimentPlots() {}

    static void write(Path directory, List<ExperimentRow> rows) throws IOException {
        for (ExperimentInput input : ExperimentInput.values()) {
            List<ExperimentRow> ofInput =
                    rows.stream().filter(row -> row.input() == input).toList();
            if (ofInput.isEmpty()) {
                continue;
            }
            LinePlot latency = new LinePlot("p99 time to first token, " + input.label(), "load / capacity", "ms", true);
            write(
                    directory,
                    "ttft-p99-" + input.label(),
                    latency,
                    ofInput,
                    row -> Math.max(1, row.result().offeredFirstTokenP99Ms()));
            LinePlot goodput =
                    new LinePlot("goodput, " + input.label(), "load / capacity", "goodput / capacity", false);
            write(
                    directory,
                    "goodput-" + input.label(),
                    goodput,
                    ofInput,
                    row -> row.result().goodputOfCapacity());
        }
    }

    private static void write(
            Path directory, String name, LinePlot plot, List<ExperimentRow> rows, ToDoubleFunction<ExperimentRow> value)
            throws IOException {
        Map<String, Map<Double, Double>> series = new LinkedHashMap<>();
        rows.forEach(row -> series.computeIfAbsent(row.policy().label(), label -> new LinkedHashMap<>())
                .put(row.load(), value.applyAsDouble(row)));
        Files.writeString(directory.resolve(name + ".svg"), plot.toSvg(series));
    }
}
