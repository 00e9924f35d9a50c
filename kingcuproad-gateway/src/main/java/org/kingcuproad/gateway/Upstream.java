package org.kingcuproad.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.kingcuproad.policy.gateway.UpstreamEntry;
import org.kingcuproad.policy.gateway.UpstreamHealth;

/** An upstream as the gateway uses it: its connections, requests in progress and what is believed of it. */
final class Upstream {

    /** Agents of slow engines repeat the pace several times in this time. */
    private static final long PACE_FRESH_MS = 1_500;

    private UpstreamEntry entry;
    private final UpstreamHealth trust = new UpstreamHealth();
    private final Deque<UpstreamLink> idle = new ArrayDeque<>();
    private int inFlight;
    private double unreadTokens;
    private boolean gone;
    private boolean replaced;
    private double pace = 1;
    private long paceMs;

    Upstream(UpstreamEntry entry) {
        this.entry = entry;
    }

    UpstreamEntry entry() {
        return entry;
    }

    void setEntry(UpstreamEntry current) {
        entry = current;
    }

    /** Notes that another upstream answered at the address. */
    void setReplaced() {
        replaced = true;
        closeIdle();
    }

    UpstreamHealth trust() {
        return trust;
    }

    int inFlight() {
        return inFlight;
    }

    double unreadTokens() {
        return unreadTokens;
    }

    void onSend(double promptTokens) {
        inFlight++;
        unreadTokens += promptTokens;
    }

    void onRead(double promptTokens) {
        unreadTokens -= promptTokens;
    }

    void onDone() {
        inFlight--;
    }

    /** Returns how many times longer than usual it takes for the same work, as its agent told last. */
    double pace() {
        return pace;
    }

    void setPace(double told, long nowMs) {
        pace = told;
        paceMs = nowMs;
    }

    /** Returns the pace, or 1 if its agent has not repeated a slow one. */
    double paceAt(long nowMs) {
        return nowMs - paceMs <= PACE_FRESH_MS ? pace : 1;
    }

    /** Tells whether new requests may go there. */
    boolean usable() {
        return !gone && !replaced && !entry.draining();
    }

    /** Ends the use of the upstream. Requests in progress go on. */
    void remove() {
        gone = true;
        closeIdle();
    }

    /**
     * Takes the idle connection that was used last.
     *
     * @param nowMs current time, in milliseconds
     * @param maxIdleMs longest time without use, in milliseconds
     * @return a connection, or null if there is none that can be relied on
     */
    @org.jspecify.annotations.Nullable
    UpstreamLink takeIdle(long nowMs, long maxIdleMs) {
        sweepIdle(nowMs);
        UpstreamLink link = idle.peekLast();
        if (link == null || nowMs - link.idleSinceMs() > maxIdleMs) {
            return null;
        }
        return idle.removeLast();
    }

    void putIdle(UpstreamLink link) {
        if (gone) {
            link.close();
        } else {
            idle.addLast(link);
        }
    }

    void onLinkClosed(UpstreamLink link) {
        idle.remove(link);
    }

    /** Closes connections that the upstream is about to close itself. */
    void sweepIdle(long nowMs) {
        Iterator<UpstreamLink> links = idle.iterator();
        while (links.hasNext()) {
            UpstreamLink link = links.next();
            if (link.idleUntilMs() <= nowMs) {
                links.remove();
                link.close();
            }
        }
    }

    void closeIdle() {
        while (!idle.isEmpty()) {
            idle.removeLast().close();
        }
    }
}
