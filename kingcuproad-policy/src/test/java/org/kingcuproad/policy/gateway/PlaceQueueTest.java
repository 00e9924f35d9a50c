package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Plays overload: guards against a queue in which every caller gets a late answer. */
class PlaceQueueTest {

    private static final long GOAL_MS = 400;
    private static final long START_BY_MS = 1_300;
    private static final double FIRST_ANSWER_MS = 200;

    private static Waiting arrival(long nowMs, int priority) {
        return new Waiting(nowMs, nowMs + GOAL_MS, nowMs + START_BY_MS, priority);
    }

    @Test
    void servesThoseWhoCanBeOnTimeBeforeThoseWhoCannot() {
        PlaceQueue<Waiting> queue = new PlaceQueue<>(waiting -> waiting);
        Waiting late = arrival(0, 0);
        Waiting fresh = arrival(900, 0);
        queue.add(late);
        queue.add(fresh);

        assertThat(queue.poll(FIRST_ANSWER_MS, 1_000)).contains(fresh);
        assertThat(queue.poll(FIRST_ANSWER_MS, 1_000)).contains(late);
    }

    @Test
    void servesTheHigherRankFirst() {
        PlaceQueue<Waiting> queue = new PlaceQueue<>(waiting -> waiting);
        queue.add(arrival(0, 2));
        Waiting urgent = arrival(10, 1);
        queue.add(urgent);

        assertThat(queue.poll(FIRST_ANSWER_MS, 20)).contains(urgent);
    }

    @Test
    void givesUpThoseThatAreNoLongerWorthStarting() {
        PlaceQueue<Waiting> queue = new PlaceQueue<>(waiting -> waiting);
        Waiting old = arrival(0, 0);
        queue.add(old);
        queue.add(arrival(500, 0));

        assertThat(queue.expired(START_BY_MS)).isEqualTo(List.of(old));
        assertThat(queue.size()).isEqualTo(1);
    }

    /** A load of 150% for 20 s, against the order of arrival, which was used before. */
    @Test
    void keepsMoreCallersOnTimeInOverloadThanTheOrderOfArrival() {
        assertThat(onTime(true)).isGreaterThan(2 * onTime(false));
    }

    private static int onTime(boolean deadlineAware) {
        Random random = new Random(11);
        PlaceQueue<Waiting> queue = new PlaceQueue<>(waiting -> waiting);
        Deque<Waiting> fifo = new ArrayDeque<>();
        int onTime = 0;
        for (long nowMs = 0; nowMs < 20_000; nowMs += 10) {
            if (random.nextDouble() < 0.6) {
                Waiting request = arrival(nowMs, 0);
                queue.add(request);
                fifo.add(request);
            }
            if (random.nextDouble() < 0.4) {
                long now = nowMs;
                queue.expired(now);
                fifo.removeIf(request -> request.startByMs() <= now);
                Waiting served =
                        deadlineAware ? queue.poll(FIRST_ANSWER_MS, nowMs).orElse(null) : fifo.poll();
                if (served != null && nowMs + FIRST_ANSWER_MS <= served.aimByMs()) {
                    onTime++;
                }
            }
        }
        return onTime;
    }
}
