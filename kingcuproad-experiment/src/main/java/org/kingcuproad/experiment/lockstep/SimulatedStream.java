package org.kingcuproad.experiment.lockstep;

import org.kingcuproad.policy.gateway.SchedulingAttributes;
import org.kingcuproad.policy.scarcity.RequestTraits;
import org.kingcuproad.policy.scarcity.ScarceRequest;

/** A request for a stream and what its caller saw of it. */
final class SimulatedStream {

    /** The gateway starts a stream up to this part of the caller's patience. */
    private static final double START_SHARE = 0.75;

    /** A tenth of the requests have more than this many times the mean work, if sizes are drawn as the load does. */
    private static final double LARGE_FACTOR = 1.6;

    private static final int TOKENS_PER_EVENT = 7;

    private final LoadPart origin;
    private final long arrivedMs;
    private final long firstArrivedMs;
    private final boolean returning;
    private final int promptTokens;
    private int unreadTokens;
    private final int events;
    private int eventsLeft;
    private boolean largeAtGateway;
    private int rank = -1;
    private long sentMs;
    private double lastEventMs = -1;
    private boolean late;

    SimulatedStream(
            LoadPart origin, long arrivedMs, long firstArrivedMs, boolean returning, int promptTokens, int events) {
        this.origin = origin;
        this.arrivedMs = arrivedMs;
        this.firstArrivedMs = firstArrivedMs;
        this.returning = returning;
        this.promptTokens = promptTokens;
        this.unreadTokens = promptTokens;
        this.events = events;
        this.eventsLeft = events;
    }

    /** Returns the same request as its caller sends it again. */
    SimulatedStream again(long nowMs) {
        return new SimulatedStream(origin, nowMs, firstArrivedMs, true, promptTokens, eventsLeft);
    }

    CallerKind kind() {
        return origin.kind();
    }

    String workspace() {
        return origin.workspace();
    }

    double workTokens() {
        return promptTokens + TOKENS_PER_EVENT * events;
    }

    boolean large() {
        return workTokens() > LARGE_FACTOR * (kind().promptTokens() + TOKENS_PER_EVENT * kind().events());
    }

    void setLargeAtGateway(boolean large) {
        largeAtGateway = large;
    }

    long firstArrivedMs() {
        return firstArrivedMs;
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
    boolean onEvent(double nowMs, double longestGapMs) {
        late |= begun() ? nowMs - lastEventMs > longestGapMs : nowMs - firstArrivedMs > kind().goalMs();
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

    SchedulingAttributes waiting() {
        return new SchedulingAttributes(
                arrivedMs,
                firstArrivedMs + (long) kind().goalMs(),
                arrivedMs + (long) (kind().patienceMs() * START_SHARE),
                kind().priority());
    }

    ScarceRequest scarceRequest() {
        return new ScarceRequest(
                waiting(), new RequestTraits(kind().name(), workspace(), workTokens(), largeAtGateway), rank < 0);
    }
}
