package org.kingcuproad.gateway;

import org.kingcuproad.policy.gateway.RetryPolicy;
import org.kingcuproad.policy.gateway.WindowedRetryBudget;

/** Decides whether requests of a service are sent again after an attempt without a usable response. */
final class AttemptRetries {

    /** Each one costs a run; an upstream that can't say twice where its response ends won't do so later. */
    private static final int MAX_CONFIRMATIONS = 2;

    private final UpstreamPool upstreams;
    private final WindowedRetryBudget budget;

    AttemptRetries(UpstreamPool upstreams, WindowedRetryBudget budget) {
        this.upstreams = upstreams;
        this.budget = budget;
    }

    /**
     * Returns whether a request is sent again, and charges the budget if so.
     *
     * @param upstream upstream of the attempt that has ended
     * @param outcome how it ended
     * @param nowMs current time, in milliseconds
     */
    boolean mayRetry(Exchange exchange, Upstream upstream, AttemptOutcome outcome, long nowMs) {
        return switch (outcome) {
            case AttemptOutcome.BrokenOff broken -> false;
            // A request that reached no upstream caused no load, so its retry does not count against the budget.
            case AttemptOutcome.NotSent notSent -> retryPossible(exchange, nowMs);
            // The budget was charged before the attempt was cancelled.
            case AttemptOutcome.Stalled stalled -> retryPossible(exchange, nowMs);
            case AttemptOutcome.NotRun notRun -> retryPossible(exchange, nowMs) && budget.tryAcquire(nowMs);
            case AttemptOutcome.Lost lost -> retryPossible(exchange, nowMs) && budget.tryAcquire(nowMs);
            case AttemptOutcome.Unconfirmed unconfirmed -> mayConfirm(exchange, upstream, nowMs);
            case AttemptOutcome.Failed failed -> retryPossible(exchange, nowMs) && budget.tryAcquire(nowMs);
        };
    }

    private boolean retryPossible(Exchange exchange, long nowMs) {
        return RetryPolicy.mayRetry(
                        exchange.route(), exchange.sends(), exchange.mayHaveRun(), exchange.deadlineMs() - nowMs)
                && upstreams.anyAdmitted(exchange);
    }

    /** Returns whether another upstream is asked, or the same one once more if no other one can be. */
    private boolean mayConfirm(Exchange exchange, Upstream upstream, long nowMs) {
        if (retryPossible(exchange, nowMs)) {
            return budget.tryAcquire(nowMs);
        }
        boolean again = confirmable(exchange, upstream, nowMs) && budget.tryAcquire(nowMs);
        if (again) {
            exchange.confirmAt(upstream.entry().id());
        }
        return again;
    }

    private static boolean confirmable(Exchange exchange, Upstream upstream, long nowMs) {
        return upstream.usable()
                && exchange.confirmations() < MAX_CONFIRMATIONS
                && RetryPolicy.mayConfirm(exchange.route(), exchange.deadlineMs() - nowMs);
    }
}
