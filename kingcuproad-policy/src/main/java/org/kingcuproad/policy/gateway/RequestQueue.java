package org.kingcuproad.policy.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Queue of requests that wait for a slot at the upstreams of one service.
 *
 * <p>Requests that can still meet their latency goal are started first, by priority and then by goal deadline. Under
 * overload this serves as many requests as possible on time instead of making all of them late. Requests that can no
 * longer meet their goal follow, also by priority and then by goal deadline; each is served when the load falls, or
 * refused when its start deadline passes.
 *
 * @param <T> type of the requests
 */
public final class RequestQueue<T> {

    private final Function<T, SchedulingAttributes> attributes;
    private final List<T> queued = new ArrayList<>();
    private StartOrder<T> order = this::startOrder;

    /**
     * An order in which requests start.
     *
     * @param <T> type of the requests
     */
    @FunctionalInterface
    public interface StartOrder<T> {

        /**
         * Returns the order.
         *
         * @param timeToFirstResponseMs expected time from sending a request to the first part of its response, in
         *     milliseconds
         * @param nowMs current time, in milliseconds
         * @return the order, the request to start next first
         */
        Comparator<T> at(double timeToFirstResponseMs, long nowMs);
    }

    /**
     * Creates an empty queue.
     *
     * @param attributes returns the scheduling attributes of a request
     */
    public RequestQueue(Function<T, SchedulingAttributes> attributes) {
        this.attributes = attributes;
    }

    /**
     * Replaces the order in which requests start.
     *
     * @param replacement the order, or empty for the order described above
     */
    public void setOrder(Optional<StartOrder<T>> replacement) {
        order = replacement.orElse(this::startOrder);
    }

    /**
     * Adds a request.
     *
     * @param request the request, which is ordered by its scheduling attributes when the next one is polled
     */
    public void add(T request) {
        queued.add(request);
    }

    /**
     * Removes a request that was cancelled or refused.
     *
     * @param request the request
     * @return whether it was queued
     */
    public boolean remove(T request) {
        return queued.remove(request);
    }

    /**
     * Returns the number of queued requests.
     *
     * @return the number, including requests whose start deadline has passed but that have not been removed
     */
    public int size() {
        return queued.size();
    }

    /**
     * Removes and returns the request to start next.
     *
     * @param timeToFirstResponseMs expected time from sending a request to the first part of its response, in
     *     milliseconds
     * @param nowMs current time, in milliseconds
     * @return the request, or empty if the queue is empty
     */
    public Optional<T> poll(double timeToFirstResponseMs, long nowMs) {
        Optional<T> next = queued.stream().min(order.at(timeToFirstResponseMs, nowMs));
        next.ifPresent(queued::remove);
        return next;
    }

    /**
     * Returns the queued requests in the order in which they start.
     *
     * @param timeToFirstResponseMs expected time from sending a request to the first part of its response, in
     *     milliseconds
     * @param nowMs current time, in milliseconds
     * @return the requests, which stay queued
     */
    public List<T> ordered(double timeToFirstResponseMs, long nowMs) {
        return queued.stream().sorted(order.at(timeToFirstResponseMs, nowMs)).toList();
    }

    /**
     * Removes and returns the requests whose start deadline has passed.
     *
     * @param nowMs current time, in milliseconds
     * @return the requests, which the caller refuses
     */
    public List<T> removeExpired(long nowMs) {
        return removeMatching(request -> attributes.apply(request).startDeadlineMs() <= nowMs);
    }

    /**
     * Removes and returns all requests that satisfy a condition.
     *
     * @param condition the condition
     * @return the requests, which the caller ends
     */
    public List<T> removeMatching(Predicate<T> condition) {
        List<T> matching = queued.stream().filter(condition).toList();
        queued.removeAll(matching);
        return matching;
    }

    private Comparator<T> startOrder(double timeToFirstResponseMs, long nowMs) {
        return Comparator.<T>comparingInt(
                        request -> attributes.apply(request).goalDeadlineMs() >= nowMs + timeToFirstResponseMs ? 0 : 1)
                .thenComparingInt(request -> attributes.apply(request).priority())
                .thenComparingLong(request -> attributes.apply(request).goalDeadlineMs());
    }
}
