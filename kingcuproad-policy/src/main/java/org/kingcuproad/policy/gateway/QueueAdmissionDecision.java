package org.kingcuproad.policy.gateway;

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
