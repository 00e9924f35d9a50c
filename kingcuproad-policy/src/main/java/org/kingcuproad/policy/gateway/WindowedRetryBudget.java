package org.kingcuproad.policy.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One gateway's share of the retry budget that all gateways share.
 *
 * <p>In each window, all gateways together may send retries up to a ratio of the requests plus a fixed slack. Each
 * gateway spends the ratio of its own requests and a fixed part of the slack, so the gateways need not exchange
 * messages.
 */
public final class WindowedRetryBudget {

    private Limits limits;
    private final Deque<Long> requestTimesMs = new ArrayDeque<>();
    private final Deque<Long> retryTimesMs = new ArrayDeque<>();

    /**
     * Limits on the number of retries.
     *
     * @param ratio retries allowed for each request
     * @param windowMs length of the sliding window, in milliseconds
     * @param slack this gateway's part of the slack, in retries per window
     */
    public record Limits(double ratio, long windowMs, double slack) {}

    /**
     * Creates a budget of which nothing is spent.
     *
     * @param limits limits on the number of retries
     */
    public WindowedRetryBudget(Limits limits) {
        this.limits = limits;
    }

    /**
     * Changes the limits. Retries already sent in the window still count.
     *
     * @param newLimits limits on the number of retries
     */
    public void adjust(Limits newLimits) {
        limits = newLimits;
    }

    /**
     * Records a request of a client.
     *
     * @param nowMs current time, in milliseconds
     */
    public void onRequest(long nowMs) {
        trim(requestTimesMs, nowMs);
        requestTimesMs.addLast(nowMs);
    }

    /**
     * Takes one retry out of the budget if the limits allow it.
     *
     * @param nowMs current time, in milliseconds
     * @return whether the request may be sent again
     */
    public boolean tryAcquire(long nowMs) {
        return tryAcquire(nowMs, 1);
    }

    /**
     * Takes one retry out of the budget if at least the rest of it remains for others.
     *
     * @param nowMs current time, in milliseconds
     * @param share share of the budget that may be spent, from 0 to 1
     * @return whether the request may be sent again
     */
    public boolean tryAcquire(long nowMs, double share) {
        trim(requestTimesMs, nowMs);
        trim(retryTimesMs, nowMs);
        if (retryTimesMs.size() + 1 > share * (limits.ratio * requestTimesMs.size() + limits.slack)) {
            return false;
        }
        retryTimesMs.addLast(nowMs);
        return true;
    }

    /** Returns the number of requests that are remembered. */
    int rememberedRequests() {
        return requestTimesMs.size();
    }

    private void trim(Deque<Long> times, long nowMs) {
        while (!times.isEmpty() && times.getFirst() <= nowMs - limits.windowMs) {
            times.removeFirst();
        }
    }
}
