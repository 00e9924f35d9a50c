package org.kingcuproad.ctl;

import org.kingcuproad.model.ErrorKind;

/** The documented exit codes of {@code kingcuproadctl}. */
public enum ExitCode {

    /** The command did what it was asked to. */
    SUCCESS(0),

    /** The command ran and failed. */
    FAILURE(1),

    /** The command line is wrong. */
    USAGE(2),

    /** A document or settings file has mistakes. */
    INVALID(3),

    /** Another operator's write came first. */
    CONFLICT(4),

    /** A process or the platform did not answer; a retry may succeed. */
    UNAVAILABLE(5),

    /** The credential is missing or not allowed. */
    DENIED(6);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Maps a kind of error to the exit code.
     *
     * @param kind the kind of error
     * @return the exit code
     */
    public static ExitCode of(ErrorKind kind) {
        return switch (kind) {
            case DOCUMENT_INVALID, BAD_REQUEST -> INVALID;
            case CONFLICT -> CONFLICT;
            case UNAUTHENTICATED, FORBIDDEN -> DENIED;
            case STORE_UNAVAILABLE, NO_UPSTREAM, PROMPT_QUARANTINED, SHUTTING_DOWN, OVERLOADED -> UNAVAILABLE;
            default -> FAILURE;
        };
    }

    /**
     * Returns the number that the process exits with.
     *
     * @return the exit status
     */
    public int number() {
        return number;
    }
}
