package org.kingcuproad.experiment.lockstep;

import org.kingcuproad.policy.gateway.SchedulingAttributes;

/** A request for a stream and what its caller saw of it. */
final class SimulatedStream {

    private final long arrivedMs;
    private final long firstArrivedMs;
    private final boolean returning;
    private final int promptTokens;
    private int unreadTokens;
    private int eventsLeft;
    private int rank = -1;
    private long sentMs;
    private double lastEventMs = -1;
    private boolean late;

    SimulatedStream(long arrivedMs, long firstArrivedMs, boolean returning, int promptTokens, int events) {
        this.arrivedMs = arrivedMs;
        this.firstArrivedMs = firstArrivedMs;
        this.returning = returning;
        this.promptTokens = promptTokens;
        this.unreadTokens = promptTokens;
        this.eventsLeft = events;
    }

    /** Returns the same request as its caller sends it again. */
    SimulatedStream again(long nowMs) {
        return new SimulatedStream(nowMs, firstArrivedMs, true, promptTokens, eventsLeft);
    }

    long arrivedMs() {
        return arrivedMs;
    }

    boolean returning() {
        return returning;
    }

    int promptTokens() {
        return promptTokens;
    }

    int rank() {
        return rank;
    }

    void start(int chosen, long nowMs) {
        rank = chosen;
        sentMs = nowMs;
    }

    long sentMs() {
        return sentMs;
    }

    boolean reading() {
        return unreadTokens > 0;
    }

    /** Reads tokens of the prompt; returns how many. */
    int read(int mostTokens) {
        int read = Math.min(mostTokens, unreadTokens);
        unreadTokens -= read;
        return read;
    }

    boolean begun() {
        return lastEventMs >= 0;
    }

    /** Takes an event; returns whether the stream is complete. */
    boolean onEvent(double nowMs, double goalMs, double longestGapMs) {
        late |= begun() ? nowMs - lastEventMs > longestGapMs : nowMs - firstArrivedMs > goalMs;
        lastEventMs = nowMs;
        eventsLeft--;
        return eventsLeft == 0;
    }

    boolean late() {
        return late;
    }

    double lastSignMs() {
        return begun() ? lastEventMs : arrivedMs;
    }

    SchedulingAttributes waiting(double goalMs, double patienceMs) {
        return new SchedulingAttributes(arrivedMs, firstArrivedMs + (long) goalMs, arrivedMs + (long) patienceMs, 1);
    }
}
