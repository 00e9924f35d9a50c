package org.kingcuproad.agent;

/**
 * Intervals and timeouts of an agent, in milliseconds.
 *
 * @param reportIntervalMs interval between two reports to a subscriber that does not request another one
 * @param idleLimitMs maximum time without data from the upstream during a request, except while reading is paused
 * @param connectLimitMs timeout of connecting to the upstream
 * @param runLimitMs maximum duration of a run whose dispatch has no deadline
 * @param drainLimitMs maximum time for running requests to finish while the agent drains
 */
public record AgentTiming(
        long reportIntervalMs, long idleLimitMs, long connectLimitMs, long runLimitMs, long drainLimitMs) {

    /**
     * Returns the default timing of agents.
     *
     * @return the default intervals and timeouts
     */
    public static AgentTiming standard() {
        return new AgentTiming(1_000, 30_000, 1_000, 600_000, 120_000);
    }

    /**
     * Sets the report interval.
     *
     * @param newReportIntervalMs interval between two reports to a subscriber that does not request another one
     * @return a copy with the new value
     */
    public AgentTiming withReportIntervalMs(long newReportIntervalMs) {
        return new AgentTiming(newReportIntervalMs, idleLimitMs, connectLimitMs, runLimitMs, drainLimitMs);
    }

    /**
     * Sets the idle timeout of the upstream.
     *
     * @param newIdleLimitMs maximum time without data from the upstream during a request
     * @return a copy with the new value
     */
    public AgentTiming withIdleLimitMs(long newIdleLimitMs) {
        return new AgentTiming(reportIntervalMs, newIdleLimitMs, connectLimitMs, runLimitMs, drainLimitMs);
    }

    /**
     * Sets the connect timeout.
     *
     * @param newConnectLimitMs timeout of connecting to the upstream
     * @return a copy with the new value
     */
    public AgentTiming withConnectLimitMs(long newConnectLimitMs) {
        return new AgentTiming(reportIntervalMs, idleLimitMs, newConnectLimitMs, runLimitMs, drainLimitMs);
    }

    /**
     * Sets the maximum duration of a run without a deadline.
     *
     * @param newRunLimitMs maximum duration of a run whose dispatch has no deadline
     * @return a copy with the new value
     */
    public AgentTiming withRunLimitMs(long newRunLimitMs) {
        return new AgentTiming(reportIntervalMs, idleLimitMs, connectLimitMs, newRunLimitMs, drainLimitMs);
    }

    /**
     * Sets the drain limit.
     *
     * @param newDrainLimitMs maximum time for running requests to finish while the agent drains
     * @return a copy with the new value
     */
    public AgentTiming withDrainLimitMs(long newDrainLimitMs) {
        return new AgentTiming(reportIntervalMs, idleLimitMs, connectLimitMs, runLimitMs, newDrainLimitMs);
    }
}
