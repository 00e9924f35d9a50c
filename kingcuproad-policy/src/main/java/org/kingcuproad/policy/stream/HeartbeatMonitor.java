package org.kingcuproad.policy.stream;

/** Heartbeat timers of one stream: when to send a heartbeat, and when to consider the peer dead. */
public final class HeartbeatMonitor {

    /** Time without a sent message after which a heartbeat is sent, in milliseconds. */
    public static final long HEARTBEAT_INTERVAL_MS = 500;

    /**
     * Time without a received message after which the connection is considered dead, in milliseconds: three missed
     * heartbeats.
     */
    public static final long RECEIVE_TIMEOUT_MS = 1_500;

    /** Result of a check. */
    public enum Action {
        /** Do nothing until {@link #nextCheckMs()}. */
        WAIT,
        /** Send a heartbeat. */
        SEND,
        /** Close the connection and open a new one. */
        ABANDON
    }

    private long lastSentMs;
    private long lastReceivedMs;

    /**
     * Starts both timers for a new stream.
     *
     * @param nowMs current time, in milliseconds
     */
    public HeartbeatMonitor(long nowMs) {
        this.lastSentMs = nowMs;
        this.lastReceivedMs = nowMs;
    }

    /**
     * Records that a message of any kind arrived.
     *
     * @param nowMs current time, in milliseconds
     */
    public void received(long nowMs) {
        lastReceivedMs = Math.max(lastReceivedMs, nowMs);
    }

    /**
     * Records that a message of any kind was sent.
     *
     * @param nowMs current time, in milliseconds
     */
    public void sent(long nowMs) {
        lastSentMs = Math.max(lastSentMs, nowMs);
    }

    /**
     * Checks both timers. A returned {@link Action#SEND} counts as a sent message.
     *
     * @param nowMs current time, in milliseconds
     * @return the action to take now
     */
    public Action check(long nowMs) {
        if (nowMs - lastReceivedMs >= RECEIVE_TIMEOUT_MS) {
            return Action.ABANDON;
        }
        if (nowMs - lastSentMs >= HEARTBEAT_INTERVAL_MS) {
            lastSentMs = nowMs;
            return Action.SEND;
        }
        return Action.WAIT;
    }

    /**
     * Returns the time of the next check.
     *
     * @return time at which the next action is due if nothing is sent or received before, in milliseconds
     */
    public long nextCheckMs() {
        return Math.min(lastSentMs + HEARTBEAT_INTERVAL_MS, lastReceivedMs + RECEIVE_TIMEOUT_MS);
    }
}
