package org.kingcuproad.emulator.platform;

/** How the stand-in fails while it is unavailable. */
public enum Outage {

    /** It is available. */
    NONE,

    /** Calls are answered with status 503 and watches break off. */
    REFUSE,

    /** Calls get no answer and watches go silent for good. */
    SILENT
}
