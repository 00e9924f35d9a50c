package org.kingcuproad.gateway;

import java.util.ArrayList;
import java.util.List;
import org.kingcuproad.policy.gateway.EndConfirmations;
import org.kingcuproad.policy.gateway.RetryDecision;

/**
 * Streams of one service that their upstreams have ended without stating so, and that nobody can be asked about now.
 *
 * <p>Such a stream is completed once ends of the service are believed. Until then it waits for what other streams show
 * and for the retry budget, since its client loses nothing by a late end, and is broken off after that.
 */
final class UnstatedEnds {

    /** Clients abandon a stream after 2 s without an event, and a question takes some hundred milliseconds. */
    private static final long MAX_WAIT_MS = 1_500;

    private final Gateway gateway;
    private final ServiceDispatcher dispatcher;
    private final AttemptRetries retries;
    private final EndConfirmations confirmations;
    private final List<Waiting> waiting = new ArrayList<>();

    /** A stream that waits, and the attempt after which it could not be continued. */
    private record Waiting(Exchange exchange, Upstream upstream, AttemptOutcome outcome, long untilMs) {}

    UnstatedEnds(Gateway gateway, ServiceDispatcher dispatcher, AttemptRetries retries) {
        this.gateway = gateway;
        this.dispatcher = dispatcher;
        this.retries = retries;
        this.confirmations = retries.endConfirmations();
    }

    /** Returns what has been shown of such ends. */
    EndConfirmations confirmations() {
        return confirmations;
    }

    /**
     * Lets a stream wait that can't be continued now.
     *
     * @param attempt its last attempt
     * @param outcome how that ended
     * @return {@code false} if its upstream hasn't ended it, or if waiting changes nothing
     */
    boolean await(Attempt attempt, AttemptOutcome outcome, long nowMs) {
        Exchange exchange = attempt.exchange();
        boolean waits = exchange.forwarded().unstatedEnd() != null && !confirmations.believed(nowMs);
        if (waits) {
            long untilMs = Math.min(nowMs + MAX_WAIT_MS, exchange.deadlineMs());
            waiting.add(new Waiting(exchange, attempt.upstream(), outcome, untilMs));
        }
        return waits;
    }

    /** Completes, continues or breaks off the streams that wait. */
    void sweep(long nowMs) {
        List<Waiting> candidates = List.copyOf(waiting);
        waiting.clear();
        candidates.stream().filter(stream -> !stream.exchange.done()).forEach(stream -> sweep(stream, nowMs));
    }

    private void sweep(Waiting stream, long nowMs) {
        if (confirmations.believed(nowMs) || nowMs >= stream.untilMs) {
            gateway.abort(stream.exchange, stream.outcome.reason());
        } else if (retries.decide(stream.exchange, stream.upstream, stream.outcome, nowMs) == RetryDecision.AGAIN) {
            dispatcher.enqueueAgain(stream.exchange);
        } else {
            waiting.add(stream);
        }
    }

    /** Ends all streams that wait, because the process is about to exit. */
    void endAll() {
        List.copyOf(waiting).forEach(stream -> gateway.endForShutdown(stream.exchange));
        waiting.clear();
    }

    /**
     * Completes a stream that can't be continued if its upstream has ended it and that end is believed.
     *
     * @param reason why nobody confirms the end, for the log
     * @return whether the stream is complete
     */
    boolean complete(Exchange exchange, String reason, long nowMs) {
        UnstatedEnd end = exchange.forwarded().unstatedEnd();
        if (end == null || end.contradicted() || dispatcher.anyRankCrashed() || !confirmations.believed(nowMs)) {
            return false;
        }
        dispatcher.responses().onUnconfirmed(exchange, end, reason);
        exchange.forwarded().onComplete("ends of the service were confirmed, and none was refuted");
        exchange.connection().sendContent(end.trailingBytes());
        dispatcher.endStream(exchange, end.status(), end.upstream());
        return true;
    }
}
