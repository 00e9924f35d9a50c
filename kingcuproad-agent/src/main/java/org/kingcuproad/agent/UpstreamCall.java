package org.kingcuproad.agent;

/** A request that was handed to the upstream. Used on the event loop of the agent. */
interface UpstreamCall {

    /** Stops reading the response until {@link #resumeReading()}. */
    void pauseReading();

    /** Goes on reading the response. */
    void resumeReading();

    /** Closes the connection, which cancels the run; the listener hears nothing further. */
    void cancel();
}
