package org.kingcuproad.policy.gateway;

/**
 * Decides whether a stream is refused immediately because it can't complete in time.
 *
 * <p>This handles slow engines: while some ranks of a group run many times slower than usual, events arrive so slowly
 * that a long stream is still incomplete when its caller disconnects. It would only have taken a slot from shorter
 * streams that can complete.
 *
 * @param refused whether the stream is refused
 * @param expectedMs expected time to the last event, in milliseconds
 */
public record StreamAdmissionDecision(boolean refused, long expectedMs) {

    /**
     * Fraction of the expected time that must exceed the remaining time before a stream is refused. The caller's
     * estimate of the length is right only at the median, so half of the expected time is allowed for.
     */
    private static final double CERTAIN_FRACTION = 0.5;

    /**
     * If no event of any stream arrived within this time, the current event rate is unknown and no stream is refused.
     */
    private static final long MAX_STATISTICS_AGE_MS = 1_500;

    /**
     * Decides about a stream.
     *
     * @param expectedEvents number of events that the caller expects, 0 if unknown
     * @param statistics statistics of the service, which give the mean interval between events
     * @param remainingMs time that the caller will still wait, in milliseconds
     * @param nowMs current time, in milliseconds
     * @return the decision
     */
    public static StreamAdmissionDecision of(
            double expectedEvents, ServiceStatistics statistics, long remainingMs, long nowMs) {
        double expectedMs = expectedEvents * statistics.meanEventIntervalMs();
        boolean statisticsCurrent = statistics.hasProgressed(MAX_STATISTICS_AGE_MS, nowMs);
        return new StreamAdmissionDecision(
                statisticsCurrent && CERTAIN_FRACTION * expectedMs > remainingMs, Math.round(expectedMs));
    }
}
