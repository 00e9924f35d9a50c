package org.kingcuproad.policy.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * The waiting requests of one workspace, with its tags of start-time fair queueing.
 *
 * @param <T> the entry's type of request
 */
final class Flow<T> {

    private final String name;
    private final int order;
    private final Deque<Ticket<T>> tickets = new ArrayDeque<>(1);
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

    Flow(WorkspaceShare share, int order) {
        this.name = share.name();
        this.share = share;
        this.order = order;
    }

    void add(Ticket<T> ticket) {
        tickets.addLast(ticket);
        queued++;
        queuedCost += ticket.cost();
    }

    /** Takes a ticket out of the counts; it is dropped from the deque once it is at the head. */
    void remove(Ticket<T> ticket) {
        ticket.stopWaiting();
        queued--;
        queuedCost = queued == 0 ? 0 : queuedCost - ticket.cost();
        dropStopped();
    }

    private void dropStopped() {
        Ticket<T> first = tickets.peekFirst();
        while (first != null && !first.waiting()) {
            tickets.removeFirst();
            first = tickets.peekFirst();
        }
    }

    @Nullable
    Ticket<T> head() {
        return tickets.peekFirst();
    }

    void start(double virtualTime) {
        startTag = Math.max(virtualTime, finishTag);
    }

    void advance(double cost) {
        finishTag = startTag + cost / share.weight();
        startTag = finishTag;
        inFlight++;
    }

    void finished() {
        inFlight = Math.max(0, inFlight - 1);
    }

    boolean mayRun() {
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

    int order() {
        return order;
    }

    WorkspaceShare share() {
        return share;
    }

    void setShare(WorkspaceShare changed) {
        share = changed;
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

    void setEligible(boolean changed) {
        eligible = changed;
    }

    boolean configured() {
        return configured;
    }

    void setUnconfigured() {
        configured = false;
    }
}
