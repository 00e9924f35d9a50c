package org.kingcuproad.policy.stream;

/** Heartbeats of one stream: when to send one and when the other side counts as dead. */
public final class HeartbeatMonitor {

    /** Time without sending after which a heartbeat is sent, in milliseconds. */
    public static final long SEND_INTERVAL_MS = 500;

    /** Time without receipt after which the connection is dead: three missed heartbeats, in milliseconds. */
    public static final long DEAD_AFTER_MS = 1_500;

    /** What to do now. */
    public enum Action {
        /** Nothing until {@link #nextCheckMs()}. */
        WAIT,
        /** Send a heartbeat. */
        SEND,
        /** Abandon the connection and open a new one. */
        ABANDON
    }

    private long lastSentMs;
    private long lastReceivedMs;

    /**
     * Starts with a new stream.
     *
     * @param nowMs present time
     */
    public HeartbeatMonitor(long nowMs) {
        this.lastSentMs = nowMs;
        this.lastReceivedMs = nowMs;
    }

    /**
     * Notes that a message of any kind arrived.
     *
     * @param nowMs present time
     */
    public void received(long nowMs) {
        lastReceivedMs = Math.max(lastReceivedMs, nowMs);
    }

    /**
     * Notes that a message of any kind was sent.
     *
     * @param nowMs present time
     */
    public void sent(long nowMs) {
        lastSentMs = Math.max(lastSentMs, nowMs);
    }

    /**
     * Decides what to do. A returned {@link Action#SEND} counts as sent.
     *
     * @param nowMs present time
     * @return the action
     */
    public Action check(long nowMs) {
        if (nowMs - lastReceivedMs >= DEAD_AFTER_MS) {
            return Action.ABANDON;
        }
        if (nowMs - lastSentMs >= SEND_INTERVAL_MS) {
            lastSentMs = nowMs;
            return Action.SEND;
        }
        return Action.WAIT;
    }

    /**
     * Returns when to check again.
     *
     * @return time of the next action if nothing is sent or received before
     */
    public long nextCheckMs() {
        return Math.min(lastSentMs + SEND_INTERVAL_MS, lastReceivedMs + DEAD_AFTER_MS);
    }
}
