package org.kingcuproad.gateway.rank;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.gateway.Clock;

/**
 * Schedules the reports that an agent reads from its engine: frequent while a map changes, infrequent otherwise, since
 * each report takes processor time.
 */
final class ReportScheduler {

    /**
     * Interval of ranks 0 and 1 while idle. Rank 1 treats a silence of 300 ms of rank 0 as a failure, so both must
     * report several times within that period.
     */
    private static final long COORDINATOR_INTERVAL_MS = 100;

    /** Interval of the other ranks while idle; each report takes processor time of a small VM. */
    private static final long IDLE_INTERVAL_MS = 200;

    /** Interval during a map change, when the group may stall until states have been read. */
    private static final long ACTIVE_INTERVAL_MS = 20;

    /** Interval after a desired state was received; rank 0 treats a longer silence during a change as a failure. */
    private static final long PARTICIPANT_INTERVAL_MS = 60;

    /**
     * Time after a desired state during which a change is assumed to be in progress; changes seldom take longer. A rank
     * that has completed its part must continue to report. Otherwise rank 0 would send orders to its engine directly,
     * and maps sent to many engines would fill the link.
     */
    private static final long CHANGE_DURATION_MS = 700;

    private final EventLoop eventLoop;
    private final Clock clock;
    private final Runnable readReport;
    private @Nullable Future<?> scheduledReport;
    private boolean active;
    private boolean coordinating;
    private long lastDesiredStateMs = Long.MIN_VALUE / 2;

    ReportScheduler(EventLoop eventLoop, Clock clock, Runnable readReport) {
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.readReport = readReport;
    }

    /** Schedules the next report, replacing one that is already scheduled. */
    void start() {
        Future<?> scheduled = scheduledReport;
        if (scheduled != null) {
            scheduled.cancel(false);
        }
        scheduledReport = eventLoop.schedule(
                () -> {
                    readReport.run();
                    start();
                },
                intervalMs(),
                TimeUnit.MILLISECONDS);
    }

    /** Records that the coordinator has sent a desired state. */
    void onDesiredState() {
        lastDesiredStateMs = clock.steadyMs();
    }

    /**
     * Adapts the interval to the task of the agent.
     *
     * @param newActive whether the rank takes part in a map change
     * @param newCoordinating whether it is one of the ranks that coordinate changes
     */
    void update(boolean newActive, boolean newCoordinating) {
        coordinating = newCoordinating;
        if (newActive != active) {
            active = newActive;
            start();
        }
    }

    private long intervalMs() {
        if (active) {
            return ACTIVE_INTERVAL_MS;
        }
        if (clock.steadyMs() - lastDesiredStateMs < CHANGE_DURATION_MS) {
            return PARTICIPANT_INTERVAL_MS;
        }
        return coordinating ? COORDINATOR_INTERVAL_MS : IDLE_INTERVAL_MS;
    }
}
