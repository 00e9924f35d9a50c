package org.kingcuproad.gateway;

/** How an attempt ended that produced no usable response for the client. */
sealed interface AttemptOutcome {

    /** Returns a description of the failure for the log. */
    String reason();

    /**
     * The request was never written to the upstream.
     *
     * @param withdrawn whether this gateway decided so, rather than the upstream being out of reach
     */
    record NotSent(String reason, boolean withdrawn) implements AttemptOutcome {

        NotSent(String reason) {
            this(reason, false);
        }
    }

    /**
     * The upstream reported that it did not run the request.
     *
     * @param replaced whether a different upstream than the expected one runs at the address
     */
    record NotRun(String reason, boolean replaced) implements AttemptOutcome {}

    /**
     * The request may have run, but its response was lost or can't be used.
     *
     * @param disconnected whether the connection ended without an action of this gateway
     */
    record Lost(String reason, boolean disconnected) implements AttemptOutcome {

        Lost(String reason) {
            this(reason, false);
        }
    }

    /** The response may be whole or cut off, and nothing tells which. */
    record Unconfirmed(String reason) implements AttemptOutcome {}

    /** The request was cancelled because its response made no progress; another upstream can take it. */
    record Stalled(String reason) implements AttemptOutcome {}

    /**
     * The response broke off after a part of its body had been passed on to the client. No byte of another response may
     * follow, so the request can't be retried.
     */
    record BrokenOff(String reason, boolean disconnected) implements AttemptOutcome {}

    /** The upstream responded with a server error; the response is kept and delivered if no other attempt succeeds. */
    record Failed(BufferedResponse response, String reason) implements AttemptOutcome {}
}
