package org.kingcuproad.experiment.lockstep;

/**
 * A kind of requests in the simulation.
 *
 * @param name name of its route
 * @param priority priority, 0 is the highest
 * @param value what a response on time is worth
 * @param goalMs time within which the first event counts as on time, in milliseconds
 * @param promptTokens mean number of prompt tokens
 * @param events mean number of events
 */
record CallerKind(String name, int priority, double value, double goalMs, double promptTokens, double events) {

    /** The only kind of the users' sheet. */
    static final CallerKind SHEET = new CallerKind("stream", 1, 1, 401, 800, 28);

    /** Callers leave after two seconds, or four times the goal if that is longer, without an event. */
    double patienceMs() {
        return Math.max(SimulatedGateway.PATIENCE_MS, 4 * goalMs);
    }
}
