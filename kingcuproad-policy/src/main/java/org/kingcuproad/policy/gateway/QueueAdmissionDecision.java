package org.kingcuproad.policy.gateway;

import java.util.OptionalDouble;

/**
 * Decides whether a request that finds no free slot is queued or refused immediately.
 *
 * <p>This sheds load under overload: a request that is expected to start after its start deadline would only lengthen
 * the wait of others.
 *
 * @param refused whether the request is refused
 * @param expectedWaitMs expected time until a slot is free, in milliseconds
 */
public record QueueAdmissionDecision(boolean refused, long expectedWaitMs) {

    private static final double MS_PER_SECOND = 1_000;

    /**
     * Decides about a request of a service whose upstreams all accept a limited number of requests a second. The
     * statistics follow a new limit only after some requests, but the queue can't be served faster than the limits
     * allow.
     *
     * @param request scheduling attributes of the request
     * @param queueLength number of queued requests, including this one
     * @param statistics statistics of the service
     * @param acceptedPerSecond requests a second that all upstreams together accept, or empty if one has no limit
     * @param nowMs current time, in milliseconds
     * @return the decision
     */
    public static QueueAdmissionDecision of(
            SchedulingAttributes request,
            int queueLength,
            ServiceStatistics statistics,
            OptionalDouble acceptedPerSecond,
            long nowMs) {
        QueueAdmissionDecision usual = of(request, queueLength, statistics, nowMs);
        if (acceptedPerSecond.isEmpty()) {
            return usual;
        }
        double limitedWaitMs = queueLength / acceptedPerSecond.getAsDouble() * MS_PER_SECOND;
        long expectedWaitMs = (long) Math.min(Integer.MAX_VALUE, Math.max(usual.expectedWaitMs, limitedWaitMs));
        return new QueueAdmissionDecision(nowMs + expectedWaitMs > request.startDeadlineMs(), expectedWaitMs);
    }

    /**
     * Decides about a request.
     *
     * @param request scheduling attributes of the request
     * @param queueLength number of queued requests, including this one
     * @param statistics statistics of the service, which give the expected wait
     * @param nowMs current time, in milliseconds
     * @return the decision
     */
    public static QueueAdmissionDecision of(
            SchedulingAttributes request, int queueLength, ServiceStatistics statistics, long nowMs) {
        long expectedWaitMs = statistics.expectedWaitMs(queueLength);
        return new QueueAdmissionDecision(nowMs + expectedWaitMs > request.startDeadlineMs(), expectedWaitMs);
    }
}
