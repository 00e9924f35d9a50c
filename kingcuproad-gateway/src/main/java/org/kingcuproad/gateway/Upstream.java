package org.kingcuproad.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.concurrent.ThreadLocalRandom;
import org.kingcuproad.policy.coldstart.ColdStart;
import org.kingcuproad.policy.evacuation.EvacuatedDataCentres;
import org.kingcuproad.policy.gateway.AnnouncedEnds;
import org.kingcuproad.policy.gateway.SharedRequestLimit;
import org.kingcuproad.policy.gateway.UpstreamAvailability;
import org.kingcuproad.policy.gateway.UpstreamEntry;
import org.kingcuproad.policy.gateway.UpstreamHealth;
import org.kingcuproad.policy.gateway.UpstreamState;
import org.kingcuproad.runtime.log.DecisionLog;

/** State of an upstream in this gateway: its idle connections, requests in progress, health and slowdown. */
final class Upstream {

    /**
     * Age up to which a reported slowdown is used; the agent of a slow engine repeats it several times within this
     * time.
     */
    private static final long MAX_SLOWDOWN_AGE_MS = 1_500;

    private UpstreamEntry entry;
    private final EvacuatedDataCentres evacuations;
    private final UpstreamHealth health = new UpstreamHealth();
    private final Deque<UpstreamConnection> idleConnections = new ArrayDeque<>();
    private final SharedRequestLimit requestLimit = new SharedRequestLimit();
    private final ColdStart coldStart = new ColdStart();
    private AnnouncedEnds announcedEnds = new AnnouncedEnds();
    private long lastSendMs;
    private int inFlight;
    private double pendingPrefillTokens;
    private boolean removed;
    private boolean replaced;
    private boolean crashed;
    private int crashes;
    private boolean leaving;
    private long backOffUntilMs = Long.MIN_VALUE / 2;
    private double slowdown = 1;
    private long slowdownReportedMs;

    Upstream(UpstreamEntry entry, EvacuatedDataCentres evacuations, long nowMs) {
        this.entry = entry;
        this.evacuations = evacuations;
        coldStart.onReport(entry.coldRemainingMs(), ThreadLocalRandom.current().nextDouble(), nowMs);
    }

    UpstreamEntry entry() {
        return entry;
    }

    /** Takes over the current entry. The same one is passed again whenever another upstream's entry changes. */
    void setEntry(UpstreamEntry current, long nowMs) {
        if (current != entry) {
            coldStart.onReport(
                    current.coldRemainingMs(), ThreadLocalRandom.current().nextDouble(), nowMs);
        }
        entry = current;
    }

    /** Records that a different upstream runs at the address. No more requests are sent there. */
    void setReplaced() {
        replaced = true;
        closeIdleConnections();
    }

    /** Returns whether a different upstream runs at the address. */
    boolean replaced() {
        return replaced;
    }

    boolean crashed() {
        return crashed;
    }

    void setCrashed() {
        if (!crashed) {
            crashes++;
        }
        crashed = true;
    }

    /** Returns how often the upstream was found to have crashed; it may have started again since. */
    int crashes() {
        return crashes;
    }

    /**
     * Returns whether the process that ran earlier is known to have ended.
     *
     * @param crashesBefore crashes that were known then
     */
    boolean endedSince(int crashesBefore) {
        return replaced || crashes > crashesBefore;
    }

    /** Records that a process listens at the address, which may have started again before the store says so. */
    void setListening() {
        crashed = false;
    }

    /** Returns whether the end of a connection to the upstream is that of a response. */
    AnnouncedEnds announcedEnds() {
        return announcedEnds;
    }

    UpstreamHealth health() {
        return health;
    }

    int inFlight() {
        return inFlight;
    }

    double pendingPrefillTokens() {
        return pendingPrefillTokens;
    }

    SharedRequestLimit requestLimit() {
        return requestLimit;
    }

    long lastSendMs() {
        return lastSendMs;
    }

    void setLastSendMs(long atMs) {
        lastSendMs = atMs;
    }

    void onSend(double promptTokens) {
        inFlight++;
        pendingPrefillTokens += promptTokens;
    }

    void onPrefillEnded(double promptTokens) {
        pendingPrefillTokens -= promptTokens;
    }

    void onAttemptEnded() {
        inFlight--;
    }

    /**
     * Records how many times longer than usual the upstream takes for the same work.
     *
     * @param reported the factor that the upstream's agent reported
     * @param nowMs current time, in milliseconds
     * @param log log for changes
     */
    void setSlowdown(double reported, long nowMs, DecisionLog log) {
        if (slowdown != reported) {
            log.event("upstream slowdown changed")
                    .field("upstream", entry.id())
                    .field("pacePercent", Math.round(reported * 100))
                    .write();
        }
        slowdown = reported;
        slowdownReportedMs = nowMs;
    }

    /** Returns the slowdown, or 1 if the agent has not repeated it recently. */
    double slowdownAt(long nowMs) {
        return nowMs - slowdownReportedMs <= MAX_SLOWDOWN_AGE_MS ? slowdown : 1;
    }

    /**
     * Records that a response of the upstream said that it is leaving. It gets no more requests.
     *
     * @return whether it was not known before
     */
    boolean setLeaving() {
        boolean first = !leaving;
        leaving = true;
        if (first) {
            closeIdleConnections();
        }
        return first;
    }

    /**
     * Records that the upstream rejected a request and said when to come back.
     *
     * @param delayMs time for which it wants no requests, in milliseconds
     * @return whether that is later than what was known before
     */
    boolean backOff(long delayMs, long nowMs) {
        boolean longer = nowMs + delayMs > backOffUntilMs;
        backOffUntilMs = Math.max(backOffUntilMs, nowMs + delayMs);
        return longer;
    }

    /** Takes over what an upstream said of itself that is the same incarnation. */
    void inheritNotices(Upstream former) {
        announcedEnds = former.announcedEnds;
        lastSendMs = former.lastSendMs;
        leaving = former.leaving;
        backOffUntilMs = former.backOffUntilMs;
    }

    /** Returns whether new requests may be sent to the upstream now, and if not, why and until when. */
    UpstreamAvailability availability(double limitShare, double coldIntervalMs, long nowMs) {
        boolean withinRequestLimit = requestLimit.perSecond().isEmpty() || requestLimit.allows(limitShare, nowMs);
        return UpstreamAvailability.of(
                new UpstreamState(
                        removed,
                        replaced,
                        entry.draining(),
                        leaving,
                        evacuated(),
                        backOffUntilMs,
                        coldStart.nextSendMs(coldIntervalMs, lastSendMs, nowMs),
                        lastSendMs,
                        health.admits(inFlight, nowMs),
                        withinRequestLimit),
                nowMs);
    }

    /** Returns whether operators have evacuated the upstream's data centre, so that it gets no requests. */
    boolean evacuated() {
        return evacuations.covers(entry.dataCentre());
    }

    /**
     * Returns the number of requests that the upstream may process; fewer right after an evacuation, and while it is
     * cold if that limits it.
     */
    int usableSlots(boolean limitedWhileCold, long nowMs) {
        int slots = evacuations.usableSlots(entry.dataCentre(), entry.slots(), nowMs);
        return limitedWhileCold ? Math.min(slots, coldStart.usableSlots(entry.slots(), nowMs)) : slots;
    }

    /** Returns whether new requests may be sent to the upstream, unless it is only busy or asks for a pause. */
    boolean usable() {
        return inService() && !evacuated();
    }

    /** Returns whether the upstream's present incarnation serves requests, and is not expected to end. */
    boolean inService() {
        return !removed && !replaced && !leaving && !entry.draining();
    }

    /**
     * Returns whether the upstream may end as planned after a response: it has said so in a response or in the
     * register, or its entry has been removed while it still served.
     */
    boolean mayEndAsPlanned() {
        return leaving || entry.draining() || removed;
    }

    /** Returns the time until which the upstream wants no requests, in milliseconds; it may have passed. */
    long backOffUntilMs() {
        return backOffUntilMs;
    }

    /** Stops sending requests to the upstream. Requests in progress continue. */
    void remove() {
        removed = true;
        closeIdleConnections();
    }

    /**
     * Removes and returns the most recently used idle connection.
     *
     * @param nowMs current time, in milliseconds
     * @param maxIdleMs maximum time since its last use, in milliseconds
     * @return a connection, or null if there is none that was used recently enough
     */
    @org.jspecify.annotations.Nullable
    UpstreamConnection takeIdleConnection(long nowMs, long maxIdleMs) {
        closeExpiredConnections(nowMs);
        UpstreamConnection connection = idleConnections.peekLast();
        if (connection == null || nowMs - connection.idleSinceMs() > maxIdleMs) {
            return null;
        }
        return idleConnections.removeLast();
    }

    void addIdleConnection(UpstreamConnection connection) {
        if (!usable()) {
            connection.close();
        } else {
            idleConnections.addLast(connection);
        }
    }

    void onConnectionClosed(UpstreamConnection connection) {
        idleConnections.remove(connection);
    }

    /** Closes idle connections whose idle timeout at the upstream is about to expire. */
    void closeExpiredConnections(long nowMs) {
        Iterator<UpstreamConnection> connections = idleConnections.iterator();
        while (connections.hasNext()) {
            UpstreamConnection connection = connections.next();
            if (connection.idleUntilMs() <= nowMs) {
                connections.remove();
                connection.close();
            }
        }
    }

    void closeIdleConnections() {
        while (!idleConnections.isEmpty()) {
            idleConnections.removeLast().close();
        }
    }
}
