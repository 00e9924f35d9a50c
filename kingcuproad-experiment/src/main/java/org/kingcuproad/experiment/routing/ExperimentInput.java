package org.kingcuproad.experiment.routing;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** What happens to the upstreams and workspaces in a run. */
public enum ExperimentInput {

    /** Load reports are 200 ms old when they arrive, and nothing fails. */
    STEADY(200, Fault.NONE, 1),

    /** Load reports are 2 s old, and nothing fails. */
    STALE(2_000, Fault.NONE, 1),

    /** One upstream runs at a third of its speed. */
    STRAGGLER(2_000, Fault.STRAGGLER, 1),

    /** A third of the upstreams goes silent. */
    LOST(2_000, Fault.THIRD_LOST, 1),

    /** One workspace sends ten times its share, on top of the load of the others. */
    NOISY(2_000, Fault.NONE, 10),

    /** All upstreams go silent. */
    OUTAGE(2_000, Fault.ALL_LOST, 1);

    private final long reportAgeMs;
    private final Fault fault;
    private final double noisyFactor;

    ExperimentInput(long reportAgeMs, Fault fault, double noisyFactor) {
        this.reportAgeMs = reportAgeMs;
        this.fault = fault;
        this.noisyFactor = noisyFactor;
    }

    /**
     * Finds an input by its label.
     *
     * @param label the label
     * @return the input, or empty if there is none of this label
     */
    public static Optional<ExperimentInput> ofLabel(String label) {
        return Arrays.stream(values())
                .filter(input -> input.label().equals(label))
                .findFirst();
    }

    /**
     * Returns the label used on the command line and in results.
     *
     * @return the label, in lower case
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    long reportAgeMs() {
        return reportAgeMs;
    }

    Fault fault() {
        return fault;
    }

    double noisyFactor() {
        return noisyFactor;
    }

    /** Returns the total rate as a multiple of the nominal load, to which a noisy workspace adds. */
    double rateFactor() {
        return (Workload.WORKSPACES - 1 + noisyFactor) / Workload.WORKSPACES;
    }

    /** What fails in the middle of the run. */
    enum Fault {
        /** Nothing. */
        NONE,

        /** One upstream becomes slow. */
        STRAGGLER,

        /** Every third upstream goes silent. */
        THIRD_LOST,

        /** Every upstream goes silent. */
        ALL_LOST
    }
}
