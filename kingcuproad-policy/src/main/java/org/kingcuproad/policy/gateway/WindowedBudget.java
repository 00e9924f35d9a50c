package org.kingcuproad.policy.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One gateway's part of the budget for sending requests again that all gateways share.
 *
 * <p>In each window the extra sends of all gateways together may be a ratio of the requests, plus a slack. Each gateway
 * spends the ratio of its own requests and a fixed part of the slack, so no message between gateways is needed.
 */
public final class WindowedBudget {

    private Limits limits;
    private final Deque<Long> requestsMs = new ArrayDeque<>();
    private final Deque<Long> extraMs = new ArrayDeque<>();

    /**
     * How much may be spent.
     *
     * @param ratio extra sends for each request
     * @param windowMs length of the sliding window, in milliseconds
     * @param slack this gateway's part of the slack, in sends a window
     */
    public record Limits(double ratio, long windowMs, double slack) {}

    /**
     * Creates a budget.
     *
     * @param limits how much may be spent
     */
    public WindowedBudget(Limits limits) {
        this.limits = limits;
    }

    /**
     * Changes how much may be spent. What was spent in the window counts on.
     *
     * @param next how much may be spent
     */
    public void adjust(Limits next) {
        limits = next;
    }

    /**
     * Notes a request of a client.
     *
     * @param nowMs current time, in milliseconds
     */
    public void onRequest(long nowMs) {
        requestsMs.addLast(nowMs);
    }

    /**
     * Takes one extra send out of the budget.
     *
     * @param nowMs current time, in milliseconds
     * @return whether the request may be sent again
     */
    public boolean tryExtra(long nowMs) {
        trim(requestsMs, nowMs);
        trim(extraMs, nowMs);
        if (extraMs.size() + 1 > limits.ratio * requestsMs.size() + limits.slack) {
            return false;
        }
        extraMs.addLast(nowMs);
        return true;
    }

    private void trim(Deque<Long> times, long nowMs) {
        while (!times.isEmpty() && times.getFirst() <= nowMs - limits.windowMs) {
            times.removeFirst();
        }
    }
}
