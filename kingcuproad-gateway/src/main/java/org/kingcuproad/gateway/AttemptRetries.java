package org.kingcuproad.gateway;

import org.kingcuproad.policy.gateway.EndConfirmations;
import org.kingcuproad.policy.gateway.RetryDecision;
import org.kingcuproad.policy.gateway.RetryPolicy;
import org.kingcuproad.policy.gateway.WindowedRetryBudget;

/** Decides whether requests of a service are sent again after an attempt without a usable response. */
final class AttemptRetries {

    /** Bounds the runs that a body without a stated end costs; it is repeated as a whole each time. */
    private static final int MAX_CONFIRMATIONS = 2;

    /**
     * Bounds the questions about the end of one stream. An upstream may state the end of the next response, and one
     * without a further event costs little.
     */
    private static final int MAX_STREAM_CONFIRMATIONS = 6;

    /** Share of the budget for questions whose answers can be missed; the rest is for requests that have failed. */
    private static final double OPTIONAL_SHARE = 0.5;

    private final UpstreamPool upstreams;
    private final WindowedRetryBudget budget;
    private final EndConfirmations endConfirmations = new EndConfirmations();

    AttemptRetries(UpstreamPool upstreams, WindowedRetryBudget budget) {
        this.upstreams = upstreams;
        this.budget = budget;
    }

    /** Returns what questions about ends have shown. */
    EndConfirmations endConfirmations() {
        return endConfirmations;
    }

    /**
     * Decides whether a request is sent again, and charges the budget if so.
     *
     * @param upstream upstream of the attempt that has ended
     * @param outcome how it ended
     * @param nowMs current time, in milliseconds
     */
    RetryDecision decide(Exchange exchange, Upstream upstream, AttemptOutcome outcome, long nowMs) {
        return switch (outcome) {
            case AttemptOutcome.BrokenOff broken -> RetryDecision.NOT_REPEATABLE;
            // A request that reached no upstream caused no load, so its retry does not count against the budget.
            case AttemptOutcome.NotSent notSent -> withoutBudget(exchange, nowMs);
            // The budget was charged before the attempt was cancelled.
            case AttemptOutcome.Stalled stalled -> withoutBudget(exchange, nowMs);
            case AttemptOutcome.NotRun notRun -> afterFailure(exchange, nowMs);
            case AttemptOutcome.Lost lost -> afterFailure(exchange, nowMs);
            case AttemptOutcome.Unconfirmed unconfirmed -> ofConfirmation(exchange, upstream, nowMs);
            case AttemptOutcome.Failed failed -> afterFailure(exchange, nowMs);
        };
    }

    /** A question about the end of a stream that has no answer can still be put to the upstream that ended it. */
    private RetryDecision afterFailure(Exchange exchange, long nowMs) {
        UnstatedEnd end = exchange.forwarded().unstatedEnd();
        return end == null
                ? charged(withoutBudget(exchange, nowMs), 1, nowMs)
                : ofConfirmation(exchange, end.upstream(), nowMs);
    }

    /** Charges a request that would be sent again, unless more than a share of the budget is spent. */
    private RetryDecision charged(RetryDecision uncharged, double share, long nowMs) {
        return uncharged == RetryDecision.AGAIN && !budget.tryAcquire(nowMs, share)
                ? RetryDecision.BUDGET_SPENT
                : uncharged;
    }

    private double shareForConfirmation(Exchange exchange, long nowMs) {
        boolean believed = exchange.forwarded().unstatedEnd() != null && endConfirmations.believed(nowMs);
        return believed || exchange.confirmations() >= MAX_CONFIRMATIONS ? OPTIONAL_SHARE : 1;
    }

    private RetryDecision withoutBudget(Exchange exchange, long nowMs) {
        RetryDecision decision = RetryPolicy.decide(
                exchange.route(), exchange.sends(), exchange.mayHaveRun(), exchange.deadlineMs() - nowMs);
        return decision == RetryDecision.AGAIN && !upstreams.anyAdmitted(exchange)
                ? RetryDecision.NO_UPSTREAM
                : decision;
    }

    /** Decides whether another upstream is asked, or the same one once more if no other one can be. */
    private RetryDecision ofConfirmation(Exchange exchange, Upstream upstream, long nowMs) {
        double share = shareForConfirmation(exchange, nowMs);
        RetryDecision elsewhere = withoutBudget(exchange, nowMs);
        if (elsewhere == RetryDecision.AGAIN || !confirmable(exchange, upstream, nowMs)) {
            return charged(elsewhere, share, nowMs);
        }
        RetryDecision here = charged(RetryDecision.AGAIN, share, nowMs);
        if (here == RetryDecision.AGAIN) {
            exchange.confirmAt(upstream.entry().id());
        }
        return here;
    }

    private static boolean confirmable(Exchange exchange, Upstream upstream, long nowMs) {
        int maxConfirmations =
                exchange.forwarded().unstatedEnd() == null ? MAX_CONFIRMATIONS : MAX_STREAM_CONFIRMATIONS;
        return upstream.usable()
                && exchange.confirmations() < maxConfirmations
                && RetryPolicy.mayConfirm(exchange.route(), exchange.deadlineMs() - nowMs);
    }
}
