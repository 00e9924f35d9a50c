package org.kingcuproad.gateway;

/** Decides when a gateway that shuts down gracefully closes idle connections, stops listening and ends. */
final class ShutdownSequence {

    /** The load balancer checks readiness every second and removes a gateway after two failed checks. */
    private static final long BALANCER_REMOVAL_MS = 2_300;

    /** Time without a client after which none is expected any more. */
    private static final long UNUSED_MS = 500;

    /** Time reserved between the end of the service and the end of the grace period. */
    private static final long SHUTDOWN_RESERVE_MS = 600;

    /** Time in which the last responses reach their clients before the process exits. */
    private static final long LAST_RESPONSES_MS = 200;

    private static final long NOT_STARTED = -1;

    private long startedMs = NOT_STARTED;
    private long startGraceMs;

    /**
     * Starts the shutdown.
     *
     * @param graceMs time until the forced end of the process, in milliseconds
     */
    void start(long graceMs, long nowMs) {
        startedMs = nowMs;
        startGraceMs = graceMs;
    }

    boolean started() {
        return startedMs != NOT_STARTED;
    }

    long durationMs(long nowMs) {
        return nowMs - startedMs;
    }

    /** Returns whether the load balancer has stopped sending new connections; idle connections are closed then. */
    boolean removedFromBalancer(long nowMs) {
        return durationMs(nowMs) > BALANCER_REMOVAL_MS;
    }

    /**
     * Returns the time until the requests that are still in progress are ended. A grace period that is extended after
     * the start does not count, because the forced end is already scheduled.
     *
     * @param graceMs grace period according to the current settings, in milliseconds
     * @return the time in milliseconds, 0 or less if it has passed
     */
    long untilServiceEndMs(long graceMs, long nowMs) {
        return serviceEndMs(graceMs) - durationMs(nowMs);
    }

    /**
     * Returns whether no more connections are accepted.
     *
     * <p>This answers the load of a data centre with few gateways in rotation: its load balancer may send clients to a
     * gateway for as long as it runs. A connection that is refused, or reset because the socket is closed meanwhile,
     * tells its client nothing; a response does. The socket is therefore closed only when no client is expected or no
     * request can be served any more.
     *
     * @param connections open client connections
     * @param lastClientMs time at which a client connection was last opened or closed, in milliseconds
     * @param graceMs grace period according to the current settings, in milliseconds
     */
    boolean stopsListening(int connections, long lastClientMs, long graceMs, long nowMs) {
        boolean unused = removedFromBalancer(nowMs) && connections == 0 && nowMs - lastClientMs > UNUSED_MS;
        return unused || untilServiceEndMs(graceMs, nowMs) < 0;
    }

    /** Returns whether a gateway that does not listen any more may end. */
    boolean isComplete(int connections, long graceMs, long nowMs) {
        return connections == 0 || untilServiceEndMs(graceMs, nowMs) < -LAST_RESPONSES_MS;
    }

    private long serviceEndMs(long graceMs) {
        return Math.min(startGraceMs, graceMs) - SHUTDOWN_RESERVE_MS;
    }
}
