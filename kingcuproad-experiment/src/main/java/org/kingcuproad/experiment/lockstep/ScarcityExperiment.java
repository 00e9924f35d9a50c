package org.kingcuproad.experiment.lockstep;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Compares the decisions on scarce capacity by credit, kind, workspace and size, and writes a table. */
public final class ScarcityExperiment {

    private final EngineModel model;
    private final List<Long> seeds;

    /**
     * Creates an experiment.
     *
     * @param model the group
     * @param seeds seeds, each of which is played with each policy and load
     */
    public ScarcityExperiment(EngineModel model, List<Long> seeds) {
        this.model = model;
        this.seeds = List.copyOf(seeds);
    }

    /**
     * Runs the experiment.
     *
     * @param directory where the table goes
     * @param out receives the table too
     * @throws IOException if the file can't be written
     */
    public void run(Path directory, PrintStream out) throws IOException {
        List<String> lines = new ArrayList<>(
                List.of("load,policy,seed,callers,asked,on_time,late,credit,served_share,earned_share"));
        for (ScarcityLoad load : ScarcityLoad.values()) {
            for (LockstepPolicy policy : LockstepPolicy.values()) {
                for (long seed : seeds) {
                    CallerReport report = LockstepSimulation.report(model, policy, load.load(), seed);
                    report.groups()
                            .forEach(group -> lines.add(
                                    String.format("%s,%s,%d,%s", load, policy, seed, line(group, report.of(group)))));
                }
            }
        }
        Files.createDirectories(directory);
        Files.write(directory.resolve("scarcity.csv"), lines);
        lines.forEach(out::println);
    }

    private static String line(String group, CallerTally tally) {
        return String.format(
                Locale.ROOT,
                "%s,%d,%d,%d,%.1f,%.3f,%.3f",
                group,
                tally.asked(),
                tally.onTime(),
                tally.late(),
                tally.credit(),
                tally.servedShare(),
                tally.earnedShare());
    }
}
