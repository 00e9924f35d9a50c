package org.kingcuproad.experiment.placement;

import java.util.Arrays;
import java.util.Optional;
import org.kingcuproad.model.ModelGroup;

/** The inputs of the experiment. */
public enum InputKind {

    /** The Authority: popularity swings around a base, with a rise of some experts as an election comes close. */
    AUTHORITY_SEASON("authority-season"),

    /** Wierzbicki: popularity moves steadily from a winter to a spring order mix. */
    WIERZBICKI_SEASON("wierzbicki-season"),

    /** Popularity changes once, without notice. */
    SUDDEN_SHIFT("sudden-shift"),

    /** Two hot sets take turns. */
    ALTERNATING("alternating"),

    /** A new hot set appears as soon as a planner may have adapted to the last one. */
    FLICKER("flicker"),

    /** One rank becomes slow for good. */
    STRAGGLER_CONSTANT("straggler-constant"),

    /** One rank is slow for one minute in five. */
    STRAGGLER_BURSTS("straggler-bursts");

    private final String label;

    InputKind(String label) {
        this.label = label;
    }

    /**
     * Returns the name on the command line.
     *
     * @return the name
     */
    public String label() {
        return label;
    }

    /**
     * Finds an input by its name.
     *
     * @param label name on the command line
     * @return the input, or empty if there is none of this name
     */
    public static Optional<InputKind> ofLabel(String label) {
        return Arrays.stream(values()).filter(kind -> kind.label.equals(label)).findFirst();
    }

    LoadInput create(ModelGroup group, long seed, long durationMs) {
        return new SyntheticInput(this, group, seed, durationMs);
    }
}
