package org.kingcuproad.policy.admission;

/**
 * A request that waits in the queue of its workspace.
 *
 * @param <T> the entry's type of request
 */
public final class Ticket<T> {

    private final T request;
    private final Flow<T> flow;
    private final double cost;
    private final long dispatchByMs;
    private final long sequence;
    private boolean waiting = true;
    private boolean withinShare = true;

    Ticket(T request, Flow<T> flow, double cost, long dispatchByMs, long sequence) {
        this.request = request;
        this.flow = flow;
        this.cost = cost;
        this.dispatchByMs = dispatchByMs;
        this.sequence = sequence;
    }

    /**
     * Returns the request.
     *
     * @return what the entry offered
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
     * Tells whether the workspace was within its share when the request became ready. The engine should then give the
     * request a higher priority than those of workspaces far over their share.
     *
     * @return {@code false} if the workspace asks for far more than its share and gets at least that share
     */
    public boolean withinShare() {
        return withinShare;
    }

    void setWithinShare(boolean changed) {
        withinShare = changed;
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

    void stopWaiting() {
        waiting = false;
    }
}
