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
 * Deadline-aware admission queue with weighted fair queueing among workspaces, for one group at one entry.
 *
 * <p>Not thread-safe: each instance is confined to one event loop. The entry offers each request; whenever an upstream
 * may have spare capacity it calls {@link #poll} and, for each request that it sends, {@link #onDispatched} and later
 * {@link #onFinished}. Offers and polls take time logarithmic in the number of workspaces and queued requests.
 *
 * @param <T> type of the entry's request objects
 */
public final class FairAdmissionQueue<T> {

    /**
     * Time constant of the departure rate: long enough to smooth the gaps between departures, short enough to follow a
     * loss of upstreams.
     */
    private static final double DEPARTURE_RATE_WINDOW_MS = 2_000;

    /**
     * Utilisation above which a workspace far over its share is limited to that share. The remaining capacity is
     * reserved, so that other workspaces are dispatched immediately even while one workspace overloads the upstreams.
     * At 0.70, with reports 2 s old, individual upstreams are full often enough to raise the p99 of the other
     * workspaces by more than a fifth.
     */
    private static final double RESERVE_UTILISATION_THRESHOLD = 0.65;

    private final int maxQueuedTotal;
    private final Map<String, Flow<T>> flows = new HashMap<>();
    private final TreeSet<Flow<T>> eligible =
            new TreeSet<>(Comparator.<Flow<T>>comparingDouble(Flow::startTag).thenComparingInt(Flow::creationOrder));
    private final TreeSet<QueuedRequest<T>> byDeadline =
            new TreeSet<>(Comparator.<QueuedRequest<T>>comparingLong(QueuedRequest::dispatchByMs)
                    .thenComparingLong(QueuedRequest::sequence));
    private final DecayingSum departureRate = new DecayingSum(DEPARTURE_RATE_WINDOW_MS);
    private final DemandMeter<T> demand = new DemandMeter<>();
    private double virtualTime;
    private double queuedCost;
    private long backloggedWeight;
    private int queued;
    private int nextCreationOrder;
    private long nextSequence;

    /**
     * Creates an empty queue; requests are refused until {@link #update} configures workspaces.
     *
     * @param maxQueuedTotal total queue length from which each workspace is limited to its fair share of this number
     */
    public FairAdmissionQueue(int maxQueuedTotal) {
        this.maxQueuedTotal = maxQueuedTotal;
    }

    /**
     * Replaces the set of workspaces. Requests of removed workspaces that are already queued are still served.
     *
     * @param shares all workspaces of the environment document
     */
    public void update(Collection<WorkspaceShare> shares) {
        Set<String> names = new HashSet<>();
        for (WorkspaceShare share : shares) {
            names.add(share.name());
            Flow<T> flow = flows.get(share.name());
            if (flow == null) {
                flows.put(share.name(), new Flow<>(share, nextCreationOrder++));
            } else {
                updateShare(flow, share);
            }
        }
        List<Flow<T>> removed = flows.values().stream()
                .filter(flow -> !names.contains(flow.name()))
                .toList();
        removed.forEach(Flow::setUnconfigured);
        removed.forEach(this::removeIfIdle);
    }

    private void updateShare(Flow<T> flow, WorkspaceShare share) {
        if (flow.queued() > 0) {
            backloggedWeight += share.weight() - flow.share().weight();
        }
        flow.setShare(share);
        updateEligibility(flow);
    }

    /**
     * Queues a request, or refuses it if its queue is full or its first token cannot arrive in time.
     *
     * @param request the request that {@link #poll} returns later
     * @param features properties that admission control evaluates
     * @param nowMs current time, in milliseconds
     * @return whether the request was queued or refused
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
        QueuedRequest<T> queuedRequest = new QueuedRequest<>(
                request, flow, features.cost(), nowMs + (long) Math.min(slackMs, 1e12), nextSequence++);
        enqueue(queuedRequest);
        return new AdmissionDecision.Queued<>(queuedRequest, waitMs);
    }

    private long fairQueueLength(Flow<T> flow) {
        long weights = backloggedWeight + (flow.queued() == 0 ? flow.share().weight() : 0);
        return Math.max(1, (long) maxQueuedTotal * flow.share().weight() / weights);
    }

    /**
     * Estimates the wait as the time to drain the workspace's own queue at its fair rate, capped by the time to drain
     * the whole queue.
     */
    private double expectedWaitMs(Flow<T> flow, double cost, long nowMs) {
        if (queued == 0 && flow.inFlight() < flow.share().maxInFlight()) {
            return 0;
        }
        double costPerMs = departureRate.costPerMs(nowMs);
        if (costPerMs <= 0) {
            return 0;
        }
        long weights = backloggedWeight + (flow.queued() == 0 ? flow.share().weight() : 0);
        double fairRate = costPerMs * flow.share().weight() / weights;
        return Math.min(flow.queuedCost() / fairRate, queuedCost / costPerMs);
    }

    private void enqueue(QueuedRequest<T> queuedRequest) {
        Flow<T> flow = queuedRequest.flow();
        if (flow.queued() == 0) {
            backloggedWeight += flow.share().weight();
        }
        flow.add(queuedRequest);
        queued++;
        queuedCost += queuedRequest.cost();
        byDeadline.add(queuedRequest);
        updateEligibility(flow);
    }

    /**
     * Returns the next request to dispatch or refuse, with no capacity reserved for workspaces within their share.
     *
     * @param nowMs current time, in milliseconds
     * @return an expired request, the next request in fair order, or {@link PollResult.Empty}
     */
    public PollResult<T> poll(long nowMs) {
        return poll(nowMs, 0);
    }

    /**
     * Returns the next request to dispatch or refuse. The entry calls this until the result is {@link PollResult.Empty}
     * or no upstream has spare capacity.
     *
     * @param nowMs current time, in milliseconds
     * @param utilisation estimated load of the group's upstreams divided by their concurrency limits
     * @return an expired request, the next request in fair order, or {@link PollResult.Empty}
     */
    public PollResult<T> poll(long nowMs, double utilisation) {
        if (!byDeadline.isEmpty() && byDeadline.first().dispatchByMs() < nowMs) {
            QueuedRequest<T> expired = byDeadline.first();
            dequeue(expired);
            return new PollResult.Expired<>(expired, ErrorKind.OVERLOADED);
        }
        for (Flow<T> flow : eligible) {
            QueuedRequest<T> head = flow.head();
            boolean withinShare = !demand.exceedsShare(flow, nowMs);
            if (head != null && (withinShare || utilisation < RESERVE_UTILISATION_THRESHOLD)) {
                head.setWithinShare(withinShare);
                return new PollResult.Ready<>(head);
            }
        }
        return new PollResult.Empty<>();
    }

    /**
     * Removes a request that was sent to an upstream from the queue and charges its cost to its workspace.
     *
     * @param queuedRequest the request that {@link #poll} returned as {@link PollResult.Ready}
     * @param nowMs current time, in milliseconds
     */
    public void onDispatched(QueuedRequest<T> queuedRequest, long nowMs) {
        if (!queuedRequest.waiting()) {
            return;
        }
        Flow<T> flow = queuedRequest.flow();
        eligible.remove(flow);
        flow.setEligible(false);
        virtualTime = Math.max(virtualTime, flow.startTag());
        flow.advance(queuedRequest.cost());
        demand.served(flow, queuedRequest.cost(), nowMs);
        departureRate.add(queuedRequest.cost(), nowMs);
        dequeue(queuedRequest);
    }

    /**
     * Removes a request from the queue, for example because its caller disconnected.
     *
     * @param queuedRequest the request
     * @return whether it was still queued
     */
    public boolean cancel(QueuedRequest<T> queuedRequest) {
        if (!queuedRequest.waiting()) {
            return false;
        }
        dequeue(queuedRequest);
        return true;
    }

    private void dequeue(QueuedRequest<T> queuedRequest) {
        Flow<T> flow = queuedRequest.flow();
        flow.remove(queuedRequest);
        byDeadline.remove(queuedRequest);
        queued--;
        queuedCost = queued == 0 ? 0 : queuedCost - queuedRequest.cost();
        if (flow.queued() == 0) {
            backloggedWeight -= flow.share().weight();
        }
        updateEligibility(flow);
        removeIfIdle(flow);
    }

    /**
     * Releases the in-flight slot of a dispatched request that ended.
     *
     * @param workspace name of its workspace
     */
    public void onFinished(String workspace) {
        Flow<T> flow = flows.get(workspace);
        if (flow != null) {
            flow.onFinished();
            updateEligibility(flow);
            removeIfIdle(flow);
        }
    }

    /**
     * Returns the total number of queued requests.
     *
     * @return queued requests of all workspaces
     */
    public int queued() {
        return queued;
    }

    /**
     * Returns the number of queued requests of a workspace.
     *
     * @param workspace name of the workspace
     * @return its queued requests, or 0 if the workspace is unknown
     */
    public int queued(String workspace) {
        Flow<T> flow = flows.get(workspace);
        return flow == null ? 0 : flow.queued();
    }

    private void updateEligibility(Flow<T> flow) {
        if (flow.dispatchable() == flow.eligible()) {
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

    private void removeIfIdle(Flow<T> flow) {
        if (!flow.configured() && flow.idle()) {
            flows.remove(flow.name());
        }
    }
}
