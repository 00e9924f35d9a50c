package org.kingcuproad.gateway;

import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.gateway.QueueAdmissionDecision;
import org.kingcuproad.policy.gateway.RequestQueue;
import org.kingcuproad.policy.gateway.RetryAfter;

/** Refuses requests of one service that can't be served in time, and says when their clients may return. */
final class RequestRefusals {

    private final Gateway gateway;
    private final RequestQueue<Exchange> queue;
    private final UpstreamPool upstreams;
    private final UpstreamStatistics statistics;

    RequestRefusals(
            Gateway gateway, RequestQueue<Exchange> queue, UpstreamPool upstreams, UpstreamStatistics statistics) {
        this.gateway = gateway;
        this.queue = queue;
        this.upstreams = upstreams;
        this.statistics = statistics;
    }

    /** Refuses a queued request that is expected to start too late. */
    void refuseIfLate(Exchange exchange, long nowMs) {
        if (returnsTooLate(exchange, nowMs) && queue.remove(exchange)) {
            endUnservable(exchange);
            return;
        }
        QueueAdmissionDecision admission = QueueAdmissionDecision.of(
                exchange.schedulingAttributes(),
                queue.size(),
                statistics.standing(nowMs),
                upstreams.acceptedPerSecond(),
                nowMs);
        if (admission.refused() && queue.remove(exchange)) {
            long retryAfterMs = RetryAfter.ofWait(
                    admission.expectedWaitMs(),
                    statistics.standing(nowMs),
                    exchange.deadlineMs() - nowMs,
                    ThreadLocalRandom.current().nextDouble(),
                    nowMs);
            gateway.endWithProblem(
                    exchange,
                    ErrorKind.OVERLOADED,
                    "the expected wait is " + admission.expectedWaitMs() + " ms",
                    retryAfterMs);
        }
    }

    /** Returns whether no upstream is left, or all of them want no requests until it is too late to start this one. */
    boolean returnsTooLate(Exchange exchange, long nowMs) {
        OptionalLong pauseMs = upstreams.allBackingOffForMs(nowMs);
        return !upstreams.anyUsable()
                || (pauseMs.isPresent()
                        && pauseMs.getAsLong() > exchange.schedulingAttributes().startDeadlineMs() - nowMs);
    }

    void endUnservable(Exchange exchange) {
        refuse(exchange, ErrorKind.NO_UPSTREAM, "no upstream of the service accepts requests in time");
    }

    void refuse(Exchange exchange, ErrorKind kind, String detail) {
        long nowMs = gateway.clock().steadyMs();
        long retryAfterMs = Math.max(
                upstreams.allBackingOffForMs(nowMs).orElse(0),
                RetryAfter.of(
                        queue.size(),
                        statistics.standing(nowMs),
                        exchange.deadlineMs() - nowMs,
                        ThreadLocalRandom.current().nextDouble(),
                        nowMs));
        gateway.endWithProblem(exchange, kind, detail, retryAfterMs);
    }
}
