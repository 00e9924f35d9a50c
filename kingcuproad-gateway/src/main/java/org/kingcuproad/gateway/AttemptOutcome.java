package org.kingcuproad.gateway;

/** How a send to an upstream ended without an answer for the client. */
sealed interface AttemptOutcome {

    /** Returns what happened, for logs. */
    String reason();

    /** The request was never written to the upstream. */
    record NotSent(String reason) implements AttemptOutcome {}

    /**
     * The upstream said that it did not run the request.
     *
     * @param replaced whether it is another upstream than the one expected at the address
     */
    record NotRun(String reason, boolean replaced) implements AttemptOutcome {}

    /** The request may have run, and its answer is lost or can't be used. */
    record Lost(String reason) implements AttemptOutcome {}

    /** The upstream answered that it failed; the answer is kept in case that no other one comes. */
    record Failed(HeldAnswer answer, String reason) implements AttemptOutcome {}
}
