package org.kingcuproad.policy.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Requests that wait for a place at the upstreams of one service.
 *
 * <p>Requests that can still be on time go first, by rank and then by aim. In overload this serves as many callers as
 * possible on time instead of making all of them late. Requests that have missed their aim follow in the order of
 * arrival, so each of them is served when load falls or is refused when its start is no longer worthwhile.
 *
 * @param <T> the gateway's type of request
 */
public final class PlaceQueue<T> {

    private final Function<T, Waiting> features;
    private final List<T> waiting = new ArrayList<>();

    /**
     * Creates an empty queue.
     *
     * @param features tells what the queue looks at in a request
     */
    public PlaceQueue(Function<T, Waiting> features) {
        this.features = features;
    }

    /**
     * Adds a request.
     *
     * @param request the request
     */
    public void add(T request) {
        waiting.add(request);
    }

    /**
     * Removes a request that no longer waits.
     *
     * @param request the request
     * @return whether it was waiting
     */
    public boolean remove(T request) {
        return waiting.remove(request);
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number
     */
    public int size() {
        return waiting.size();
    }

    /**
     * Takes the request that is to start next.
     *
     * @param firstAnswerMs expected time from start to the first part of the answer, in milliseconds
     * @param nowMs current time, in milliseconds
     * @return the request, or empty if none waits
     */
    public Optional<T> poll(double firstAnswerMs, long nowMs) {
        Optional<T> next = waiting.stream().min(order(firstAnswerMs, nowMs));
        next.ifPresent(waiting::remove);
        return next;
    }

    /**
     * Takes the requests that are no longer worth starting.
     *
     * @param nowMs current time, in milliseconds
     * @return the requests, to be refused
     */
    public List<T> expired(long nowMs) {
        List<T> late = waiting.stream()
                .filter(request -> features.apply(request).startByMs() <= nowMs)
                .toList();
        waiting.removeAll(late);
        return late;
    }

    private Comparator<T> order(double firstAnswerMs, long nowMs) {
        return Comparator.<T>comparingInt(request -> features.apply(request).aimByMs() >= nowMs + firstAnswerMs ? 0 : 1)
                .thenComparingInt(request -> features.apply(request).priority())
                .thenComparingLong(request -> features.apply(request).aimByMs());
    }
}
