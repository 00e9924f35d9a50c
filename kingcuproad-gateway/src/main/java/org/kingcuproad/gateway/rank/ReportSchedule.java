package org.kingcuproad.gateway.rank;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.gateway.Clock;

/**
 * When an agent reads the state of its engine: often while a map changes, seldom else, since each report costs time.
 */
final class ReportSchedule {

    /** Rank 1 takes a longer silence of rank 0 for a fault, so both tell their states several times in that time. */
    private static final long DECIDING_MS = 100;

    /** Other ranks report less often while nothing changes; each report takes processor time of a small VM. */
    private static final long IDLE_MS = 200;

    /** While a map is changed the group may stand still, so states are read more often. */
    private static final long ACTIVE_MS = 20;

    /** Rank 0 takes a longer silence during a change for a fault. */
    private static final long AFTER_WISH_MS = 60;

    /**
     * A change seldom takes longer. A rank that has done its part goes on telling its state, or rank 0 would act at its
     * engine from afar, and maps sent to many engines fill the link.
     */
    private static final long CHANGE_MS = 700;

    private final EventLoop eventLoop;
    private final Clock clock;
    private final Runnable report;
    private @Nullable Future<?> next;
    private boolean active;
    private boolean deciding;
    private long wishedMs = Long.MIN_VALUE / 2;

    ReportSchedule(EventLoop eventLoop, Clock clock, Runnable report) {
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.report = report;
    }

    /** Schedules the next report anew. */
    void start() {
        Future<?> scheduled = next;
        if (scheduled != null) {
            scheduled.cancel(false);
        }
        next = eventLoop.schedule(
                () -> {
                    report.run();
                    start();
                },
                intervalMs(),
                TimeUnit.MILLISECONDS);
    }

    /** Notes that the coordinator wished for a state. */
    void onWish() {
        wishedMs = clock.steadyMs();
    }

    /**
     * Takes what the agent is about.
     *
     * @param nowActive whether the rank has something to do for a change
     * @param nowDeciding whether it is one of the ranks that decide on changes
     */
    void adjust(boolean nowActive, boolean nowDeciding) {
        deciding = nowDeciding;
        if (nowActive != active) {
            active = nowActive;
            start();
        }
    }

    private long intervalMs() {
        if (active) {
            return ACTIVE_MS;
        }
        if (clock.steadyMs() - wishedMs < CHANGE_MS) {
            return AFTER_WISH_MS;
        }
        return deciding ? DECIDING_MS : IDLE_MS;
    }
}
