package org.kingcuproad.gateway;

import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.gateway.QueueAdmissionDecision;
import org.kingcuproad.policy.gateway.RequestQueue;
import org.kingcuproad.policy.gateway.RetryAfter;

/** Refuses requests of one service that can't be served in time, and says when their clients may return. */
final class RequestRefusals {

    private static final String EVACUATED = "all data centres with upstreams of the service are evacuated";

    private final Gateway gateway;
    private final RequestQueue<Exchange> queue;
    private final UpstreamPool upstreams;
    private final UpstreamStatistics statistics;
    private final ScarceCapacity scarcity;

    RequestRefusals(
            Gateway gateway, RequestQueue<Exchange> queue, UpstreamPool upstreams, UpstreamStatistics statistics) {
        this.gateway = gateway;
        this.queue = queue;
        this.upstreams = upstreams;
        this.statistics = statistics;
        this.scarcity = new ScarceCapacity(gateway, queue);
    }

    ScarceCapacity scarcity() {
        return scarcity;
    }

    /** Removes a request from the queue whose client has disconnected. */
    void cancel(Exchange exchange) {
        if (queue.remove(exchange)) {
            scarcity.onNotServed(exchange, gateway.clock().steadyMs());
        }
    }

    /** Ends the queued requests whose start deadline has passed. */
    void endExpired(long nowMs) {
        for (Exchange exchange : queue.removeExpired(nowMs)) {
            if (exchange.headSent()) {
                gateway.abort(exchange, "no upstream had capacity to resume the stream");
            } else if (exchange.mayHaveRun()) {
                gateway.endWithProblem(exchange, ErrorKind.DEADLINE_EXCEEDED, "no response before the deadline", -1);
            } else {
                refuse(exchange, ErrorKind.OVERLOADED, "no upstream had capacity in time");
            }
        }
    }

    /**
     * Refuses a queued request that is expected to start too late. Where priorities differ, requests that it has
     * delayed too much are refused in its place.
     */
    void refuseIfLate(Exchange exchange, long nowMs) {
        if (returnsTooLate(exchange, nowMs) && queue.remove(exchange)) {
            endUnservable(exchange);
            return;
        }
        if (scarcity.active()) {
            scarcity.overdue(statistics.standing(nowMs), upstreams.acceptedPerSecond(), nowMs)
                    .forEach(refusal -> refuseForWait(refusal.request(), refusal.expectedWaitMs(), nowMs));
            return;
        }
        QueueAdmissionDecision admission = QueueAdmissionDecision.of(
                exchange.schedulingAttributes(),
                queue.size(),
                statistics.standing(nowMs),
                upstreams.acceptedPerSecond(),
                nowMs);
        if (admission.refused()) {
            refuseForWait(exchange, admission.expectedWaitMs(), nowMs);
        }
    }

    private void refuseForWait(Exchange exchange, long expectedWaitMs, long nowMs) {
        if (queue.remove(exchange)) {
            scarcity.onNotServed(exchange, nowMs);
            if (nowMs > exchange.arrivedMs()) {
                gateway.metrics().count("refused_after_queueing");
            }
            long retryAfterMs = RetryAfter.ofWait(
                    expectedWaitMs,
                    statistics.standing(nowMs),
                    exchange.deadlineMs() - nowMs,
                    ThreadLocalRandom.current().nextDouble(),
                    nowMs);
            gateway.endWithProblem(
                    exchange, ErrorKind.OVERLOADED, "the expected wait is " + expectedWaitMs + " ms", retryAfterMs);
        }
    }

    /** Returns whether no upstream is left, or all of them want no requests until it is too late to start this one. */
    boolean returnsTooLate(Exchange exchange, long nowMs) {
        OptionalLong pauseMs = upstreams.allBackingOffForMs(nowMs);
        return !upstreams.anyUsable()
                || (pauseMs.isPresent()
                        && pauseMs.getAsLong() > exchange.schedulingAttributes().startDeadlineMs() - nowMs);
    }

    /** Refuses a request that arrives while no upstream is left. */
    void refuseWithoutUpstream(Exchange exchange) {
        refuseUnserved(exchange, "no upstream of the service is available");
    }

    void endUnservable(Exchange exchange) {
        refuseUnserved(exchange, "no upstream of the service accepts requests in time");
    }

    private void refuseUnserved(Exchange exchange, String reasonUnlessEvacuated) {
        refuse(exchange, ErrorKind.NO_UPSTREAM, upstreams.allEvacuated() ? EVACUATED : reasonUnlessEvacuated);
    }

    void refuse(Exchange exchange, ErrorKind kind, String detail) {
        long nowMs = gateway.clock().steadyMs();
        scarcity.onNotServed(exchange, nowMs);
        long retryAfterMs = Math.max(upstreams.allBackingOffForMs(nowMs).orElse(0), slotDelayMs(exchange, nowMs));
        gateway.endWithProblem(exchange, kind, detail, retryAfterMs);
    }

    /** Slots that become free at evacuated upstreams say nothing about when a request can be served. */
    private long slotDelayMs(Exchange exchange, long nowMs) {
        long remainingMs = exchange.deadlineMs() - nowMs;
        double draw = ThreadLocalRandom.current().nextDouble();
        return upstreams.allEvacuated()
                ? RetryAfter.maxDelayMs(remainingMs, draw)
                : RetryAfter.of(queue.size(), statistics.standing(nowMs), remainingMs, draw, nowMs);
    }
}
