package org.kingcuproad.policy.gateway;

/**
 * Computes the delay after which a refused client should retry.
 *
 * <p>Two situations are distinguished. Under overload a slot becomes free after the expected wait. When a whole service
 * is stalled, as a lock-step group is while one rank is unavailable, the time of its recovery is unknown. A client that
 * retries too early is refused again and has no further attempt, so it gets the longest delay that clients honour, with
 * jitter so that the clients don't all return at once.
 */
public final class RetryAfter {

    /**
     * Delay of a request that another gateway may be able to serve, in milliseconds: a client that retries at once
     * usually reaches another gateway.
     */
    public static final long OTHER_GATEWAY_MS = 0;

    /** Clients honour a delay of up to this fraction of their remaining time. */
    private static final double HONOURED_FRACTION = 1.0 / 3;

    /** Fraction of the honoured delay over which the retries of clients are spread. */
    private static final double JITTER_FRACTION = 0.3;

    /** A service without any response or event for this long is stalled; a forward pass takes less than 100 ms. */
    private static final long STALL_MS = 400;

    private RetryAfter() {}

    /**
     * Computes the retry delay of a refused request.
     *
     * @param queueLength number of requests that wait for a slot
     * @param statistics statistics of the service
     * @param remainingMs time that the client will still wait for its response, in milliseconds
     * @param draw uniformly distributed random number from 0 to 1, used for the jitter
     * @param nowMs current time, in milliseconds
     * @return the delay in milliseconds
     */
    public static long of(int queueLength, ServiceStatistics statistics, long remainingMs, double draw, long nowMs) {
        return ofWait(statistics.expectedWaitMs(queueLength + 1), statistics, remainingMs, draw, nowMs);
    }

    /**
     * Computes the retry delay of a request that was refused because of its expected wait.
     *
     * @param expectedWaitMs expected time until the request could have been started, in milliseconds
     * @param statistics statistics of the service
     * @param remainingMs time that the client will still wait for its response, in milliseconds
     * @param draw uniformly distributed random number from 0 to 1, used for the jitter
     * @param nowMs current time, in milliseconds
     * @return the delay in milliseconds
     */
    public static long ofWait(
            long expectedWaitMs, ServiceStatistics statistics, long remainingMs, double draw, long nowMs) {
        if (!statistics.hasProgressed(STALL_MS, nowMs)) {
            return maxDelayMs(remainingMs, draw);
        }
        return Math.min(honouredDelayMs(remainingMs), expectedWaitMs);
    }

    /**
     * Computes the longest delay that the client honours, less jitter. It is used while a service is stalled or too
     * slow to complete the request; such slowness usually ends after some seconds.
     *
     * @param remainingMs time that the client will still wait for its response, in milliseconds
     * @param draw uniformly distributed random number from 0 to 1, used for the jitter
     * @return the delay in milliseconds
     */
    public static long maxDelayMs(long remainingMs, double draw) {
        return (long) (honouredDelayMs(remainingMs) * (1 - JITTER_FRACTION * draw));
    }

    private static long honouredDelayMs(long remainingMs) {
        return (long) (Math.max(0, remainingMs) * HONOURED_FRACTION);
    }
}
