package org.kingcuproad.model;

/** What is known about whether a request ran on its upstream. */
public enum Execution {

    /** The request did not run and will not run. */
    NOT_RUN("not-run"),

    /** The request ran, wholly or in part. */
    RAN("ran"),

    /** Whether the request ran cannot be known. */
    UNKNOWN("unknown");

    private final String label;

    Execution(String label) {
        this.label = label;
    }

    /**
     * Returns the label used in answers to callers.
     *
     * @return the label, in lower case with hyphens
     */
    public String label() {
        return label;
    }
}
