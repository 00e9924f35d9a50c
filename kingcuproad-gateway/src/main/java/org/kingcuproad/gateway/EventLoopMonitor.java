package org.kingcuproad.gateway;

import org.kingcuproad.runtime.log.DecisionLog;

/** Records how late the event loop runs its tasks, which shows work that holds up all connections. */
final class EventLoopMonitor {

    /** Delay that is logged; callers notice one of some hundred milliseconds. */
    private static final long LOGGED_DELAY_MS = 250;

    private final ProcessMetrics metrics;
    private final DecisionLog log;

    EventLoopMonitor(ProcessMetrics metrics, DecisionLog log) {
        this.metrics = metrics;
        this.log = log;
    }

    /**
     * Records a task.
     *
     * @param delayMs time from the planned start of the task to its start, in milliseconds
     */
    void onTask(long delayMs) {
        metrics.time("event_loop_delay_ms", Math.max(0, delayMs));
        if (delayMs > LOGGED_DELAY_MS) {
            log.event("event loop delayed").field("delayMs", delayMs).write();
        }
    }
}
