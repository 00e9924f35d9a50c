package org.kingcuproad.policy.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Upstreams of one group: the available ones, their total load, and the ejected ones ordered by readmission time. */
final class GroupState {

    /**
     * Time constant of the averages behind {@link #peerFactor}. Entries join and leave over minutes, so their number
     * may be averaged over many reports.
     */
    private static final double PEER_WINDOW_MS = 10_000;

    /**
     * Load added to the numerator and denominator of the ratio, which pulls it towards 1 while the entry has little
     * load of its own.
     */
    private static final double PEER_PRIOR_LOAD = 1;

    private final String dataCentre;
    private final DecayingMean firstTokenMs;
    private final DecayingMean reportedLoad = new DecayingMean(PEER_WINDOW_MS);
    private final DecayingMean ownLoad = new DecayingMean(PEER_WINDOW_MS);
    private final List<UpstreamState> available = new ArrayList<>();
    private final List<UpstreamState> local = new ArrayList<>();
    private final PriorityQueue<UpstreamState> ejected = new PriorityQueue<>(
            Comparator.<UpstreamState>comparingLong(state -> state.ejection().ejectedUntilMs())
                    .thenComparingInt(UpstreamState::slot));
    private final HashRing ring = new HashRing();
    private double totalLoad;
    private long totalCapacity;
    private int members;
    private long nextProbeMs = Long.MIN_VALUE;

    GroupState(String dataCentre, RouterSettings settings) {
        this.dataCentre = dataCentre;
        this.firstTokenMs = new DecayingMean(settings.latencyWindowMs());
    }

    void addMember(UpstreamState state, long nowMs) {
        members++;
        makeAvailable(state, nowMs);
    }

    void removeMember(UpstreamState state) {
        members--;
        makeUnavailable(state);
        ejected.remove(state);
    }

    boolean hasMembers() {
        return members > 0;
    }

    void makeAvailable(UpstreamState state, long nowMs) {
        if (state.available()
                || state.leaving()
                || state.removed()
                || state.ejection().ejected()) {
            return;
        }
        state.setPosition(available.size());
        available.add(state);
        ring.add(state);
        if (state.upstream().dataCentre().equals(dataCentre)) {
            state.setLocalPosition(local.size());
            local.add(state);
        }
        totalCapacity += state.capacity();
        state.setContributedLoad(0);
        refresh(state, nowMs);
    }

    /** Removes an upstream from the lists in constant time by moving the last element into its position. */
    void makeUnavailable(UpstreamState state) {
        if (!state.available()) {
            return;
        }
        ring.remove(state);
        UpstreamState last = available.removeLast();
        if (last != state) {
            available.set(state.position(), last);
            last.setPosition(state.position());
        }
        if (state.localPosition() != UpstreamState.ABSENT) {
            UpstreamState lastLocal = local.removeLast();
            if (lastLocal != state) {
                local.set(state.localPosition(), lastLocal);
                lastLocal.setLocalPosition(state.localPosition());
            }
        }
        state.setPosition(UpstreamState.ABSENT);
        state.setLocalPosition(UpstreamState.ABSENT);
        totalCapacity -= state.capacity();
        totalLoad = available.isEmpty() ? 0 : totalLoad - state.contributedLoad();
    }

    void eject(UpstreamState state, long nowMs, double random) {
        makeUnavailable(state);
        ejected.remove(state);
        state.ejection().eject(nowMs, random);
        ejected.add(state);
    }

    void readmit(UpstreamState state, long nowMs) {
        ejected.remove(state);
        state.ejection().startSlowStart(nowMs);
        makeAvailable(state, nowMs);
    }

    void readmitDue(long nowMs) {
        UpstreamState next = ejected.peek();
        while (next != null && next.ejection().ejectedUntilMs() <= nowMs) {
            readmit(next, nowMs);
            next = ejected.peek();
        }
    }

    /**
     * Selects the upstream to probe while all are ejected. Upstreams that are leaving are removed from the ejected
     * queue.
     *
     * @param excluded upstreams that must not be chosen
     * @param nowMs current time, in milliseconds
     * @param intervalMs minimum time between two probes, in milliseconds
     * @return the upstream due for readmission next, or null if there is none, it is excluded, or the last probe is too
     *     recent
     */
    @Nullable
    UpstreamState probe(Set<String> excluded, long nowMs, long intervalMs) {
        UpstreamState next = ejected.peek();
        while (next != null && next.leaving()) {
            readmit(next, nowMs);
            next = ejected.peek();
        }
        if (next == null
                || nowMs < nextProbeMs
                || excluded.contains(next.upstream().name())) {
            return null;
        }
        nextProbeMs = nowMs + intervalMs;
        return next;
    }

    void onReport(UpstreamState state, long nowMs) {
        reportedLoad.add(state.reportedLoad(), nowMs);
        ownLoad.add(state.ownLoadAtReport(), nowMs);
        refresh(state, nowMs);
    }

    double load(UpstreamState state, long nowMs) {
        return state.load(nowMs, peerFactor());
    }

    /** Returns the estimated load of all entries as a multiple of this entry's load, averaged over the group. */
    double peerFactor() {
        double factor = (reportedLoad.value() + PEER_PRIOR_LOAD) / (ownLoad.value() + PEER_PRIOR_LOAD);
        return Math.max(1, factor);
    }

    /**
     * Updates the total load of the group with the current estimate for one upstream.
     *
     * @param state an upstream of the group
     * @param nowMs current time, in milliseconds
     * @return the estimated load of the upstream
     */
    double refresh(UpstreamState state, long nowMs) {
        double load = load(state, nowMs);
        if (state.available()) {
            totalLoad += load - state.contributedLoad();
            state.setContributedLoad(load);
        }
        return load;
    }

    /**
     * Returns the maximum load that an upstream may reach through affinity.
     *
     * @param state an upstream of the group
     * @param factor multiple of the mean load
     * @return the bound, including the request being routed, in proportion to the upstream's capacity
     */
    double loadBound(UpstreamState state, double factor) {
        return Math.ceil(factor * (totalLoad + 1) * state.capacity() / Math.max(1, totalCapacity));
    }

    double utilisation() {
        return totalCapacity == 0 ? 1 : totalLoad / totalCapacity;
    }

    HashRing ring() {
        return ring;
    }

    List<UpstreamState> available() {
        return available;
    }

    List<UpstreamState> local() {
        return local;
    }

    DecayingMean firstTokenMs() {
        return firstTokenMs;
    }
}
