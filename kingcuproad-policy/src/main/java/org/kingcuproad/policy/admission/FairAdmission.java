package org.kingcuproad.policy.admission;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.kingcuproad.model.ErrorKind;

/**
 * Deadline-aware admission with weighted fair queueing among workspaces, for one group at one entry.
 *
 * <p>An object belongs to one event loop. The entry offers each request; whenever an upstream may have room it calls
 * {@link #poll} and, for a request that it sends, {@link #dispatched}, and later {@link #finished}. Offers and polls
 * take time logarithmic in the number of workspaces and waiting requests.
 *
 * @param <T> the entry's type of request
 */
public final class FairAdmission<T> {

    /** Time constant of the departure rate: long against gaps between departures, short against a loss of upstreams. */
    private static final double RATE_WINDOW_MS = 2_000;

    /**
     * Utilisation above which a workspace far over its share gets only that share. The rest is a reserve: others find
     * free places at once, although the upstreams are overloaded by the one. With reports 2 s old, single upstreams are
     * full at 0.70 often enough to raise the others' p99 by more than a fifth.
     */
    private static final double RESERVE_UTILISATION = 0.65;

    private final int maxQueuedTotal;
    private final Map<String, Flow<T>> flows = new HashMap<>();
    private final TreeSet<Flow<T>> eligible =
            new TreeSet<>(Comparator.<Flow<T>>comparingDouble(Flow::startTag).thenComparingInt(Flow::order));
    private final TreeSet<Ticket<T>> byDeadline = new TreeSet<>(
            Comparator.<Ticket<T>>comparingLong(Ticket::dispatchByMs).thenComparingLong(Ticket::sequence));
    private final DecayingSum rate = new DecayingSum(RATE_WINDOW_MS);
    private final DemandMeter<T> demand = new DemandMeter<>();
    private double virtualTime;
    private double queuedCost;
    private long backloggedWeight;
    private int queued;
    private int nextOrder;
    private long nextSequence;

    /**
     * Creates a queue without workspaces.
     *
     * @param maxQueuedTotal waiting requests beyond which a workspace may only fill its fair share of this number
     */
    public FairAdmission(int maxQueuedTotal) {
        this.maxQueuedTotal = maxQueuedTotal;
    }

    /**
     * Replaces the set of workspaces. Requests of removed workspaces that already wait are still served.
     *
     * @param shares all workspaces of the document
     */
    public void update(Collection<WorkspaceShare> shares) {
        Set<String> names = new HashSet<>();
        for (WorkspaceShare share : shares) {
            names.add(share.name());
            Flow<T> flow = flows.get(share.name());
            if (flow == null) {
                flows.put(share.name(), new Flow<>(share, nextOrder++));
            } else {
                change(flow, share);
            }
        }
        List<Flow<T>> removed = flows.values().stream()
                .filter(flow -> !names.contains(flow.name()))
                .toList();
        removed.forEach(Flow::setUnconfigured);
        removed.forEach(this::forgetIfIdle);
    }

    private void change(Flow<T> flow, WorkspaceShare share) {
        if (flow.queued() > 0) {
            backloggedWeight += share.weight() - flow.share().weight();
        }
        flow.setShare(share);
        updateEligibility(flow);
    }

    /**
     * Offers a request.
     *
     * @param request the request, returned by {@link #poll}
     * @param features what admission looks at
     * @param nowMs current time, in milliseconds
     * @return whether the request waits or is refused
     */
    public AdmissionDecision<T> offer(T request, AdmissionRequest features, long nowMs) {
        Flow<T> flow = flows.get(features.workspace());
        if (flow == null || !flow.configured()) {
            return new AdmissionDecision.Refused<>(ErrorKind.FORBIDDEN, "the workspace is not in the document");
        }
        demand.offered(flow, features.cost(), nowMs);
        if (flow.queued() >= flow.share().maxQueued()) {
            return new AdmissionDecision.Refused<>(
                    ErrorKind.WORKSPACE_LIMIT, "the workspace has " + flow.queued() + " waiting requests");
        }
        if (queued >= maxQueuedTotal && flow.queued() >= fairQueueLength(flow)) {
            return new AdmissionDecision.Refused<>(ErrorKind.OVERLOADED, "the queue is full");
        }
        double waitMs = expectedWaitMs(flow, features.cost(), nowMs);
        double slackMs = features.firstTokenLimitMs() - features.expectedFirstTokenMs();
        if (waitMs > slackMs) {
            return new AdmissionDecision.Refused<>(
                    ErrorKind.OVERLOADED,
                    "the first token is expected in "
                            + Math.round(waitMs + features.expectedFirstTokenMs()) + " ms, the limit is "
                            + Math.round(features.firstTokenLimitMs()) + " ms");
        }
        Ticket<T> ticket =
                new Ticket<>(request, flow, features.cost(), nowMs + (long) Math.min(slackMs, 1e12), nextSequence++);
        enqueue(ticket);
        return new AdmissionDecision.Queued<>(ticket, waitMs);
    }

    private long fairQueueLength(Flow<T> flow) {
        long weights = backloggedWeight + (flow.queued() == 0 ? flow.share().weight() : 0);
        return Math.max(1, (long) maxQueuedTotal * flow.share().weight() / weights);
    }

    /** Estimates the wait from the workspace's own queue at its fair rate, but never longer than the whole queue. */
    private double expectedWaitMs(Flow<T> flow, double cost, long nowMs) {
        if (queued == 0 && flow.inFlight() < flow.share().maxInFlight()) {
            return 0;
        }
        double costPerMs = rate.costPerMs(nowMs);
        if (costPerMs <= 0) {
            return 0;
        }
        long weights = backloggedWeight + (flow.queued() == 0 ? flow.share().weight() : 0);
        double fairRate = costPerMs * flow.share().weight() / weights;
        return Math.min(flow.queuedCost() / fairRate, queuedCost / costPerMs);
    }

    private void enqueue(Ticket<T> ticket) {
        Flow<T> flow = ticket.flow();
        if (flow.queued() == 0) {
            backloggedWeight += flow.share().weight();
        }
        flow.add(ticket);
        queued++;
        queuedCost += ticket.cost();
        byDeadline.add(ticket);
        updateEligibility(flow);
    }

    /**
     * Returns what can be done now, without a reserve for workspaces within their share.
     *
     * @param nowMs current time, in milliseconds
     * @return a late request, the next request in fair order, or nothing
     */
    public QueueHead<T> poll(long nowMs) {
        return poll(nowMs, 0);
    }

    /**
     * Returns what can be done now. The entry calls this until it is {@link QueueHead.Empty} or no upstream has room.
     *
     * @param nowMs current time, in milliseconds
     * @param utilisation estimated load of the group's upstreams as a ratio of their limits
     * @return a late request, the next request in fair order, or nothing
     */
    public QueueHead<T> poll(long nowMs, double utilisation) {
        if (!byDeadline.isEmpty() && byDeadline.first().dispatchByMs() < nowMs) {
            Ticket<T> late = byDeadline.first();
            dequeue(late);
            return new QueueHead.Late<>(late, ErrorKind.OVERLOADED);
        }
        for (Flow<T> flow : eligible) {
            Ticket<T> head = flow.head();
            boolean withinShare = !demand.exceedsShare(flow, nowMs);
            if (head != null && (withinShare || utilisation < RESERVE_UTILISATION)) {
                head.setWithinShare(withinShare);
                return new QueueHead.Ready<>(head);
            }
        }
        return new QueueHead.Empty<>();
    }

    /**
     * Notes that a waiting request was sent to an upstream.
     *
     * @param ticket the request that {@link #poll} returned as ready
     * @param nowMs current time, in milliseconds
     */
    public void dispatched(Ticket<T> ticket, long nowMs) {
        if (!ticket.waiting()) {
            return;
        }
        Flow<T> flow = ticket.flow();
        eligible.remove(flow);
        flow.setEligible(false);
        virtualTime = Math.max(virtualTime, flow.startTag());
        flow.advance(ticket.cost());
        demand.served(flow, ticket.cost(), nowMs);
        rate.add(ticket.cost(), nowMs);
        dequeue(ticket);
    }

    /**
     * Takes a waiting request out of the queue, for example because its caller went away.
     *
     * @param ticket the request
     * @return whether it was still waiting
     */
    public boolean cancel(Ticket<T> ticket) {
        if (!ticket.waiting()) {
            return false;
        }
        dequeue(ticket);
        return true;
    }

    private void dequeue(Ticket<T> ticket) {
        Flow<T> flow = ticket.flow();
        flow.remove(ticket);
        byDeadline.remove(ticket);
        queued--;
        queuedCost = queued == 0 ? 0 : queuedCost - ticket.cost();
        if (flow.queued() == 0) {
            backloggedWeight -= flow.share().weight();
        }
        updateEligibility(flow);
        forgetIfIdle(flow);
    }

    /**
     * Notes that a dispatched request ended.
     *
     * @param workspace its workspace
     */
    public void finished(String workspace) {
        Flow<T> flow = flows.get(workspace);
        if (flow != null) {
            flow.finished();
            updateEligibility(flow);
            forgetIfIdle(flow);
        }
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return requests of all workspaces
     */
    public int queued() {
        return queued;
    }

    /**
     * Returns the number of waiting requests of a workspace.
     *
     * @param workspace name of the workspace
     * @return its waiting requests, 0 if it is not known
     */
    public int queued(String workspace) {
        Flow<T> flow = flows.get(workspace);
        return flow == null ? 0 : flow.queued();
    }

    private void updateEligibility(Flow<T> flow) {
        if (flow.mayRun() == flow.eligible()) {
            return;
        }
        if (flow.eligible()) {
            eligible.remove(flow);
        } else {
            flow.start(virtualTime);
            eligible.add(flow);
        }
        flow.setEligible(!flow.eligible());
    }

    private void forgetIfIdle(Flow<T> flow) {
        if (!flow.configured() && flow.idle()) {
            flows.remove(flow.name());
        }
    }
}
