package org.kingcuproad.agent;

/**
 * Intervals and limits of time of an agent.
 *
 * @param reportIntervalMs shortest time between two reports to a subscriber
 * @param idleLimitMs time that an upstream may stay silent within one response
 * @param connectLimitMs time to connect to the upstream
 * @param runLimitMs longest run of a dispatch without a deadline
 * @param drainLimitMs time that running requests have to finish after the agent began to leave
 */
public record AgentTiming(
        long reportIntervalMs, long idleLimitMs, long connectLimitMs, long runLimitMs, long drainLimitMs) {

    /**
     * Returns the timing with which agents run unless their settings say otherwise.
     *
     * @return the standard timing
     */
    public static AgentTiming standard() {
        return new AgentTiming(1_000, 30_000, 1_000, 600_000, 120_000);
    }

    /**
     * Replaces the time between reports.
     *
     * @param newReportIntervalMs shortest time between two reports to a subscriber
     * @return a copy with the new value
     */
    public AgentTiming withReportIntervalMs(long newReportIntervalMs) {
        return new AgentTiming(newReportIntervalMs, idleLimitMs, connectLimitMs, runLimitMs, drainLimitMs);
    }

    /**
     * Replaces the time that an upstream may stay silent.
     *
     * @param newIdleLimitMs time that an upstream may stay silent within one response
     * @return a copy with the new value
     */
    public AgentTiming withIdleLimitMs(long newIdleLimitMs) {
        return new AgentTiming(reportIntervalMs, newIdleLimitMs, connectLimitMs, runLimitMs, drainLimitMs);
    }

    /**
     * Replaces the time to connect.
     *
     * @param newConnectLimitMs time to connect to the upstream
     * @return a copy with the new value
     */
    public AgentTiming withConnectLimitMs(long newConnectLimitMs) {
        return new AgentTiming(reportIntervalMs, idleLimitMs, newConnectLimitMs, runLimitMs, drainLimitMs);
    }

    /**
     * Replaces the longest run.
     *
     * @param newRunLimitMs longest run of a dispatch without a deadline
     * @return a copy with the new value
     */
    public AgentTiming withRunLimitMs(long newRunLimitMs) {
        return new AgentTiming(reportIntervalMs, idleLimitMs, connectLimitMs, newRunLimitMs, drainLimitMs);
    }

    /**
     * Replaces the time to drain.
     *
     * @param newDrainLimitMs time that running requests have to finish after the agent began to leave
     * @return a copy with the new value
     */
    public AgentTiming withDrainLimitMs(long newDrainLimitMs) {
        return new AgentTiming(reportIntervalMs, idleLimitMs, connectLimitMs, runLimitMs, newDrainLimitMs);
    }
}
