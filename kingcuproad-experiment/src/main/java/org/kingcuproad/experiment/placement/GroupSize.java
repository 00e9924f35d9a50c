package org.kingcuproad.experiment.placement;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.kingcuproad.model.ModelGroup;

/** Sizes of groups that the experiment runs. */
public enum GroupSize {

    /** A group as both organisations run it today. */
    TODAY("today", List.of(new ModelGroup("today", "drafting", 4, 12, 8, 4))),

    /** A group of the size expected in two years, with one and with two slots a rank. */
    LARGE(
            "large",
            List.of(
                    new ModelGroup("large-1-slot", "drafting", 128, 12, 64, 1),
                    new ModelGroup("large-2-slots", "drafting", 128, 12, 64, 2)));

    private final String label;
    private final List<ModelGroup> groups;

    GroupSize(String label, List<ModelGroup> groups) {
        this.label = label;
        this.groups = groups;
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
     * Finds a size by its name.
     *
     * @param label name on the command line
     * @return the size, or empty if there is none of this name
     */
    public static Optional<GroupSize> ofLabel(String label) {
        return Arrays.stream(values()).filter(size -> size.label.equals(label)).findFirst();
    }

    List<ModelGroup> groups() {
        return groups;
    }
}
