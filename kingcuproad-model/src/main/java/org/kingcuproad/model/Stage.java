package org.kingcuproad.model;

/** A stage of an environment: a document is tried first and then promoted. */
public enum Stage {

    /** Where a document is tried. */
    TRIAL("trial"),

    /** Where a promoted document serves callers. */
    PRODUCTION("production");

    private final String label;

    Stage(String label) {
        this.label = label;
    }

    /**
     * Returns the label used in settings, paths and object keys.
     *
     * @return the label, in lower case
     */
    public String label() {
        return label;
    }
}
