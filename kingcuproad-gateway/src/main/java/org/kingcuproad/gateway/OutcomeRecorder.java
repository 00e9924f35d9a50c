package org.kingcuproad.gateway;

import org.kingcuproad.runtime.log.DecisionLog;

/** Records what attempts without a usable response tell about their requests and upstreams. */
final class OutcomeRecorder {

    private final CrashProtection crashProtection;
    private final DecisionLog log;

    OutcomeRecorder(CrashProtection crashProtection, DecisionLog log) {
        this.crashProtection = crashProtection;
        this.log = log;
    }

    /** Updates the request and the health of the upstream according to the outcome of an attempt. */
    void record(Attempt attempt, AttemptOutcome outcome, long nowMs) {
        Exchange exchange = attempt.exchange();
        Upstream upstream = attempt.upstream();
        switch (outcome) {
            case AttemptOutcome.NotSent notSent -> {
                exchange.onNotSent();
                if (!notSent.withdrawn()) {
                    recordFailure(upstream, outcome, nowMs);
                    upstream.closeIdleConnections();
                }
            }
            case AttemptOutcome.NotRun notRun -> {
                if (notRun.replaced()) {
                    upstream.setReplaced();
                }
            }
            case AttemptOutcome.Lost lost -> recordLoss(attempt, lost, lost.disconnected(), nowMs);
            case AttemptOutcome.Stalled stalled -> recordLoss(attempt, stalled, false, nowMs);
            case AttemptOutcome.BrokenOff broken -> recordLoss(attempt, broken, broken.disconnected(), nowMs);
            case AttemptOutcome.Unconfirmed unconfirmed -> {
                exchange.setMayHaveRun();
                upstream.health().onUnconfirmed();
            }
            case AttemptOutcome.Failed failed -> {
                exchange.setMayHaveRun();
                recordFailure(upstream, outcome, nowMs);
            }
        }
    }

    private void recordLoss(Attempt attempt, AttemptOutcome outcome, boolean disconnected, long nowMs) {
        attempt.exchange().setMayHaveRun();
        recordFailure(attempt.upstream(), outcome, nowMs);
        attempt.upstream().closeIdleConnections();
        if (disconnected) {
            crashProtection.onDisconnected(attempt.upstream(), attempt.exchange());
        }
    }

    private void recordFailure(Upstream upstream, AttemptOutcome outcome, long nowMs) {
        if (upstream.health().onFailure(nowMs)) {
            log.event("upstream ejected")
                    .field("upstream", upstream.entry().id())
                    .field("reason", outcome.reason())
                    .write();
        }
    }
}
