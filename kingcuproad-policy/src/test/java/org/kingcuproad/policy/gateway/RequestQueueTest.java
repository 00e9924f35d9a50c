package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Overload: guards against a queue in which every caller gets a late response. */
class RequestQueueTest {

    private static final long GOAL_MS = 400;
    private static final long START_WITHIN_MS = 1_300;
    private static final double TIME_TO_FIRST_RESPONSE_MS = 200;

    private static SchedulingAttributes requestArrivingAt(long nowMs, int priority) {
        return new SchedulingAttributes(nowMs, nowMs + GOAL_MS, nowMs + START_WITHIN_MS, priority);
    }

    @Test
    void servesRequestsThatCanMeetTheirGoalFirst() {
        RequestQueue<SchedulingAttributes> queue = new RequestQueue<>(attributes -> attributes);
        SchedulingAttributes late = requestArrivingAt(0, 0);
        SchedulingAttributes fresh = requestArrivingAt(900, 0);
        queue.add(late);
        queue.add(fresh);

        assertThat(queue.poll(TIME_TO_FIRST_RESPONSE_MS, 1_000)).contains(fresh);
        assertThat(queue.poll(TIME_TO_FIRST_RESPONSE_MS, 1_000)).contains(late);
    }

    @Test
    void servesHigherPriorityFirst() {
        RequestQueue<SchedulingAttributes> queue = new RequestQueue<>(attributes -> attributes);
        queue.add(requestArrivingAt(0, 2));
        SchedulingAttributes urgent = requestArrivingAt(10, 1);
        queue.add(urgent);

        assertThat(queue.poll(TIME_TO_FIRST_RESPONSE_MS, 20)).contains(urgent);
    }

    @Test
    void removesRequestsPastTheirStartDeadline() {
        RequestQueue<SchedulingAttributes> queue = new RequestQueue<>(attributes -> attributes);
        SchedulingAttributes old = requestArrivingAt(0, 0);
        queue.add(old);
        queue.add(requestArrivingAt(500, 0));

        assertThat(queue.removeExpired(START_WITHIN_MS)).isEqualTo(List.of(old));
        assertThat(queue.size()).isEqualTo(1);
    }

    /** A load of 150% for 20 s, compared with the FIFO order that was used before. */
    @Test
    void servesMoreRequestsOnTimeThanFifoUnderOverload() {
        assertThat(countOnTime(true)).isGreaterThan(2 * countOnTime(false));
    }

    private static int countOnTime(boolean deadlineAware) {
        Random random = new Random(11);
        RequestQueue<SchedulingAttributes> queue = new RequestQueue<>(attributes -> attributes);
        Deque<SchedulingAttributes> fifo = new ArrayDeque<>();
        int onTime = 0;
        for (long nowMs = 0; nowMs < 20_000; nowMs += 10) {
            if (random.nextDouble() < 0.6) {
                SchedulingAttributes request = requestArrivingAt(nowMs, 0);
                queue.add(request);
                fifo.add(request);
            }
            if (random.nextDouble() < 0.4) {
                long now = nowMs;
                queue.removeExpired(now);
                fifo.removeIf(request -> request.startDeadlineMs() <= now);
                SchedulingAttributes served = deadlineAware
                        ? queue.poll(TIME_TO_FIRST_RESPONSE_MS, nowMs).orElse(null)
                        : fifo.poll();
                if (served != null && nowMs + TIME_TO_FIRST_RESPONSE_MS <= served.goalDeadlineMs()) {
                    onTime++;
                }
            }
        }
        return onTime;
    }
}
