package org.kingcuproad.emulator.platform;

/** Kinds of calls that count against the platform's rates. */
public enum CallKind {

    /** Read of one object. */
    GET("get"),

    /** Write with {@code If-None-Match}. */
    CREATE("create"),

    /** Write with {@code If-Match}. */
    UPDATE("update"),

    /** Deletion. */
    DELETE("delete"),

    /** List of objects. */
    LIST("list"),

    /** Start of a watch. */
    WATCH("watch"),

    /** List of VMs. */
    VMS("vms");

    private final String label;

    CallKind(String label) {
        this.label = label;
    }

    /**
     * Returns the name used in the counters over HTTP.
     *
     * @return the label, in lower case
     */
    public String label() {
        return label;
    }
}
