package org.kingcuproad.agent;

/** A request in progress at the upstream. Confined to the event loop of the agent. */
interface UpstreamCall {

    /** Pauses reading the response until {@link #resumeReading()}. */
    void pauseReading();

    /** Resumes reading the response. */
    void resumeReading();

    /** Closes the connection, which cancels the request; the listener is not called again. */
    void cancel();
}
