package org.kingcuproad.policy.admission;

/**
 * A request in the admission queue of its workspace.
 *
 * @param <T> type of the entry's request objects
 */
public final class QueuedRequest<T> {

    private final T request;
    private final Flow<T> flow;
    private final double cost;
    private final long dispatchByMs;
    private final long sequence;
    private boolean waiting = true;
    private boolean withinShare = true;

    QueuedRequest(T request, Flow<T> flow, double cost, long dispatchByMs, long sequence) {
        this.request = request;
        this.flow = flow;
        this.cost = cost;
        this.dispatchByMs = dispatchByMs;
        this.sequence = sequence;
    }

    /**
     * Returns the entry's request object.
     *
     * @return the object passed to {@link FairAdmissionQueue#offer}
     */
    public T request() {
        return request;
    }

    /**
     * Returns the workspace of the request.
     *
     * @return name of the workspace
     */
    public String workspace() {
        return flow.name();
    }

    /**
     * Returns whether the workspace was within its share when the request became ready. If so, the engine should give
     * the request a higher priority than requests of workspaces far over their share.
     *
     * @return {@code false} if the workspace offers far more than its share and is served at least that share
     */
    public boolean withinShare() {
        return withinShare;
    }

    void setWithinShare(boolean value) {
        withinShare = value;
    }

    Flow<T> flow() {
        return flow;
    }

    double cost() {
        return cost;
    }

    long dispatchByMs() {
        return dispatchByMs;
    }

    long sequence() {
        return sequence;
    }

    boolean waiting() {
        return waiting;
    }

    void markDequeued() {
        waiting = false;
    }
}
