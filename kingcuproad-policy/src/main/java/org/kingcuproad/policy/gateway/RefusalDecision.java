package org.kingcuproad.policy.gateway;

/**
 * Whether a request that finds no free place waits or is refused at once.
 *
 * <p>Answers overload: a request whose start is expected too late to be of use would only lengthen the wait of others.
 *
 * @param refused whether it is refused
 * @param expectedWaitMs expected wait for a place, in milliseconds
 */
public record RefusalDecision(boolean refused, long expectedWaitMs) {

    /**
     * Decides.
     *
     * @param request the request
     * @param waiting number of requests that wait, this one included
     * @param pace how fast places become free
     * @param nowMs current time, in milliseconds
     * @return the decision
     */
    public static RefusalDecision of(Waiting request, int waiting, ServicePace pace, long nowMs) {
        long expectedWaitMs = pace.waitMs(waiting);
        return new RefusalDecision(nowMs + expectedWaitMs > request.startByMs(), expectedWaitMs);
    }
}
