package org.kingcuproad.experiment.routing;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs events in the order of their virtual time; events of equal time run in the order in which they were added. */
final class VirtualTime {

    private static final long MICROS_PER_MS = 1_000;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
    private long nowMicros;
    private long nextSequence;

    long nowMicros() {
        return nowMicros;
    }

    long nowMs() {
        return nowMicros / MICROS_PER_MS;
    }

    void after(long delayMicros, Runnable action) {
        events.add(new Event(nowMicros + delayMicros, nextSequence++, action));
    }

    void runUntil(long endMicros) {
        Event next = events.poll();
        while (next != null && next.atMicros() <= endMicros) {
            nowMicros = next.atMicros();
            next.action().run();
            next = events.poll();
        }
    }

    private record Event(long atMicros, long sequence, Runnable action) {}
}
