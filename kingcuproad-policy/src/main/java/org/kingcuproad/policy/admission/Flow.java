package org.kingcuproad.policy.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Queue of one workspace, with the start and finish tags of start-time fair queueing (SFQ).
 *
 * @param <T> type of the entry's request objects
 */
final class Flow<T> {

    private final String name;
    private final int creationOrder;
    private final Deque<QueuedRequest<T>> queuedRequests = new ArrayDeque<>(1);
    private final DecayingSum offered = new DecayingSum(DemandMeter.WINDOW_MS);
    private final DecayingSum served = new DecayingSum(DemandMeter.WINDOW_MS);
    private WorkspaceShare share;
    private double startTag;
    private double finishTag;
    private double queuedCost;
    private int queued;
    private int inFlight;
    private boolean eligible;
    private boolean configured = true;

    Flow(WorkspaceShare share, int creationOrder) {
        this.name = share.name();
        this.share = share;
        this.creationOrder = creationOrder;
    }

    void add(QueuedRequest<T> queuedRequest) {
        queuedRequests.addLast(queuedRequest);
        queued++;
        queuedCost += queuedRequest.cost();
    }

    /** Removes a request from the counts; it is dropped from the deque once it reaches the head. */
    void remove(QueuedRequest<T> queuedRequest) {
        queuedRequest.markDequeued();
        queued--;
        queuedCost = queued == 0 ? 0 : queuedCost - queuedRequest.cost();
        removeDequeuedHead();
    }

    private void removeDequeuedHead() {
        QueuedRequest<T> head = queuedRequests.peekFirst();
        while (head != null && !head.waiting()) {
            queuedRequests.removeFirst();
            head = queuedRequests.peekFirst();
        }
    }

    @Nullable
    QueuedRequest<T> head() {
        return queuedRequests.peekFirst();
    }

    void start(double virtualTime) {
        startTag = Math.max(virtualTime, finishTag);
    }

    void advance(double cost) {
        finishTag = startTag + cost / share.weight();
        startTag = finishTag;
        inFlight++;
    }

    void onFinished() {
        inFlight = Math.max(0, inFlight - 1);
    }

    boolean dispatchable() {
        return queued > 0 && inFlight < share.maxInFlight();
    }

    boolean idle() {
        return queued == 0 && inFlight == 0;
    }

    DecayingSum offered() {
        return offered;
    }

    DecayingSum served() {
        return served;
    }

    String name() {
        return name;
    }

    int creationOrder() {
        return creationOrder;
    }

    WorkspaceShare share() {
        return share;
    }

    void setShare(WorkspaceShare value) {
        share = value;
        configured = true;
    }

    double startTag() {
        return startTag;
    }

    double queuedCost() {
        return queuedCost;
    }

    int queued() {
        return queued;
    }

    int inFlight() {
        return inFlight;
    }

    boolean eligible() {
        return eligible;
    }

    void setEligible(boolean value) {
        eligible = value;
    }

    boolean configured() {
        return configured;
    }

    void setUnconfigured() {
        configured = false;
    }
}
