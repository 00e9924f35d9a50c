package org.kingcuproad.gateway;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.gateway.FramingHabit;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.RequestQueue;
import org.kingcuproad.policy.gateway.RetryAfter;
import org.kingcuproad.policy.gateway.RetryDecision;
import org.kingcuproad.policy.gateway.RetryPolicy;
import org.kingcuproad.policy.gateway.RouteKind;
import org.kingcuproad.policy.gateway.ServiceConfiguration;
import org.kingcuproad.policy.gateway.StreamAdmissionDecision;
import org.kingcuproad.policy.gateway.UpstreamEntry;
import org.kingcuproad.policy.gateway.WindowedRetryBudget;

/**
 * Dispatches the requests of one service: queues them, sends each to an upstream with capacity, and retries or ends
 * failed ones.
 */
final class ServiceDispatcher {

    /**
     * Maximum idle time of a connection on which a non-retryable request is sent. A connection that was idle for longer
     * may have been dropped without notice, and a request that must not run twice can't be sent again when that is
     * discovered.
     */
    private static final long NON_RETRYABLE_MAX_IDLE_MS = 1_000;

    private static final long NEW_CONNECTION = -1;

    private final Gateway gateway;
    private boolean engine;
    private int tokensPerEvent;
    private final UpstreamPool upstreams;
    private final RequestQueue<Exchange> queue = new RequestQueue<>(Exchange::schedulingAttributes);
    private final Set<Attempt> activeAttempts = new HashSet<>();
    private final DetachedAttempts detachedAttempts = new DetachedAttempts();
    private final WindowedRetryBudget budget;
    private final AttemptRetries retries;
    private final ResponseLog responses;
    private final UpstreamStatistics statistics;
    private final FramingHabit framingHabit = new FramingHabit();
    private final UnstatedEnds unstatedEnds;
    private final CrashProtection crashProtection;
    private final OutcomeRecorder outcomeRecorder;
    private final UpstreamNotices notices;
    private final UpstreamSelector selector;
    private final RequestRefusals refusals;
    private boolean dispatching;

    ServiceDispatcher(Gateway gateway, String service, WindowedRetryBudget budget) {
        this.gateway = gateway;
        this.upstreams = new UpstreamPool(gateway.evacuations());
        this.selector = new UpstreamSelector(gateway);
        this.statistics = new UpstreamStatistics(gateway, upstreams);
        this.refusals = new RequestRefusals(gateway, queue, upstreams, statistics);
        this.notices = new UpstreamNotices(gateway);
        this.crashProtection = new CrashProtection(gateway, service, () -> sweepCrashProtection(nowMs()));
        this.outcomeRecorder = new OutcomeRecorder(crashProtection, gateway.log());
        this.budget = budget;
        this.responses = new ResponseLog(gateway.log(), gateway.metrics(), gateway.names());
        this.retries = new AttemptRetries(upstreams, budget);
        this.unstatedEnds = new UnstatedEnds(gateway, this, retries);
    }

    HeaderNames names() {
        return gateway.names();
    }

    long nowMs() {
        return gateway.clock().steadyMs();
    }

    Collection<Upstream> upstreams() {
        return upstreams.all();
    }

    int queued() {
        return queue.size();
    }

    /** Replaces the set of upstreams. Requests in progress at removed upstreams continue. */
    void update(List<UpstreamEntry> entries) {
        upstreams.update(entries, nowMs());
        dispatch();
    }

    /** Applies the configuration of the service, which may arrive after its first upstreams. */
    void configure(ServiceConfiguration configuration, GatewayConfiguration whole) {
        refusals.scarcity().configure(configuration.name(), whole);
        engine = configuration.engine();
        tokensPerEvent = configuration.tokensPerEvent();
        selector.setColdPerSecond(configuration.coldPerSecond());
    }

    void adjustBudget(WindowedRetryBudget.Limits limits) {
        budget.adjust(limits);
    }

    /** Accepts a new request: sends it, queues it, or refuses it. */
    void submit(Exchange exchange) {
        long nowMs = nowMs();
        budget.onRequest(nowMs);
        if (crashProtection.endIfQuarantined(exchange, nowMs)) {
            return;
        }
        if (!gateway.shutdown().admits(exchange, statistics.service(), nowMs)) {
            gateway.endForShutdown(exchange);
            return;
        }
        if (!upstreams.anyUsable()) {
            refusals.refuseWithoutUpstream(exchange);
            return;
        }
        double events = tokensPerEvent == 0 ? 0 : exchange.outputTokens() / tokensPerEvent;
        StreamAdmissionDecision streamAdmission =
                StreamAdmissionDecision.of(events, statistics.standing(nowMs), exchange.deadlineMs() - nowMs, nowMs);
        if (streamAdmission.refused()) {
            long retryAfterMs = RetryAfter.maxDelayMs(
                    exchange.deadlineMs() - nowMs, ThreadLocalRandom.current().nextDouble());
            gateway.endWithProblem(
                    exchange,
                    ErrorKind.OVERLOADED,
                    "the response is expected to take " + streamAdmission.expectedMs() + " ms",
                    retryAfterMs);
            return;
        }
        refusals.scarcity().enqueue(exchange, nowMs);
        dispatch();
        if (exchange.attempt() == null && !exchange.done()) {
            refusals.refuseIfLate(exchange, nowMs);
        }
    }

    CrashProtection crashProtection() {
        return crashProtection;
    }

    /** Ends requests that have become quarantined; an upstream that has not begun to answer is spared the crash. */
    private void sweepCrashProtection(long nowMs) {
        if (crashProtection.sweep(nowMs)) {
            List.copyOf(activeAttempts).stream()
                    .filter(attempt -> !attempt.responseStarted())
                    .filter(attempt -> crashProtection.isQuarantined(attempt.exchange(), nowMs))
                    .forEach(attempt -> {
                        attempt.exchange().setMayHaveRun();
                        attempt.cancel();
                        activeAttempts.remove(attempt);
                        crashProtection.endIfQuarantined(attempt.exchange(), nowMs);
                    });
        }
    }

    /** Ends all requests, because the process is about to exit. */
    void endAll() {
        queue.removeMatching(exchange -> true).forEach(gateway::endForShutdown);
        unstatedEnds.endAll();
        for (Attempt attempt : List.copyOf(activeAttempts)) {
            if (attempt.written()) {
                attempt.exchange().setMayHaveRun();
            }
            activeAttempts.remove(attempt);
            attempt.cancel();
            gateway.endForShutdown(attempt.exchange());
        }
    }

    /** Sends queued requests while upstreams have capacity. */
    void dispatch() {
        if (dispatching) {
            return;
        }
        dispatching = true;
        List<Exchange> passedOver = new ArrayList<>();
        try {
            long nowMs = nowMs();
            while (queue.size() > 0) {
                Optional<Exchange> next = queue.poll(statistics.service().timeToFirstResponseMs(), nowMs);
                if (next.isEmpty()) {
                    return;
                }
                Exchange exchange = next.get();
                if (crashProtection.endIfQuarantined(exchange, nowMs)) {
                    continue;
                }
                OptionalInt index = selector.select(upstreams.list(), exchange, engine, nowMs);
                if (index.isEmpty()) {
                    passedOver.add(exchange);
                    if (exchange.tried()) {
                        // Others may be sent to the upstreams that this request has tried.
                        continue;
                    }
                    return;
                }
                send(exchange, upstreams.list().get(index.getAsInt()), nowMs);
            }
        } finally {
            passedOver.forEach(queue::add);
            dispatching = false;
            gateway.upstreamLimits().report(nowMs());
        }
    }

    private void send(Exchange exchange, Upstream upstream, long nowMs) {
        Attempt attempt = new Attempt(this, exchange, upstream, nowMs);
        exchange.setAttempt(attempt);
        refusals.scarcity().onSend(exchange, nowMs);
        exchange.onSend(upstream.entry().id(), nowMs);
        activeAttempts.add(attempt);
        upstream.onSend(exchange.promptTokens());
        gateway.upstreamLimits().onSend(upstream, nowMs);
        UpstreamConnection idle = upstream.takeIdleConnection(nowMs, maxIdleMs(exchange));
        if (idle != null && idle.open()) {
            write(attempt, idle);
        } else {
            gateway.connect(upstream, attempt, this::write);
        }
    }

    private static long maxIdleMs(Exchange exchange) {
        if (exchange.head().method().equals(HttpMethod.HEAD)) {
            // The decoder expects the next response to have no body, and a late copy of another one has one.
            return NEW_CONNECTION;
        }
        return exchange.route().retryable() ? Long.MAX_VALUE : NON_RETRYABLE_MAX_IDLE_MS;
    }

    private void write(Attempt attempt, UpstreamConnection connection) {
        Exchange exchange = attempt.exchange();
        if (attempt.ended()) {
            connection.close();
            return;
        }
        if (!selector.mayWrite(attempt.upstream(), nowMs())) {
            connection.close();
            attempt.withdraw("the upstream gets no more requests");
            return;
        }
        long remainingMs = exchange.deadlineMs() - nowMs();
        attempt.onWritten(connection);
        connection.send(
                attempt,
                ForwardedMessages.request(
                        exchange, names(), attempt.upstream().entry().id(), remainingMs));
    }

    void onResponseStarted(Attempt attempt) {
        long nowMs = nowMs();
        double responseMs = nowMs - attempt.sentMs();
        attempt.upstream().health().onSuccess(responseMs);
        statistics.onResponseStarted(attempt.upstream(), responseMs, nowMs);
    }

    void onEventInterval(Upstream upstream, double intervalMs) {
        statistics.onEventInterval(upstream, intervalMs);
    }

    void onEvent(Upstream upstream, long eventMs) {
        statistics.onEvent(upstream, eventMs);
    }

    /** Records what the head of a response says about the requests that its upstream accepts. */
    void onNotices(Upstream upstream, HttpResponse response) {
        notices.read(upstream, response);
    }

    ResponseLog responses() {
        return responses;
    }

    void onSlotReleased(Upstream upstream) {
        if (!upstream.evacuated()) {
            // A slot of an evacuated upstream shortens no request's wait.
            statistics.onSlotReleased(upstream, nowMs());
        }
        gateway.execute(this::dispatch);
    }

    /** Finds out whether an upstream still listens whose response ended with its connection. */
    void confirmEnd(Attempt attempt) {
        crashProtection.confirmEnd(attempt);
    }

    FramingHabit framingHabit() {
        return framingHabit;
    }

    UnstatedEnds unstatedEnds() {
        return unstatedEnds;
    }

    /** Returns whether the upstreams are ranks of a group of which one is known to have crashed. */
    boolean anyRankCrashed() {
        return engine && upstreams.list().stream().anyMatch(Upstream::crashed);
    }

    void onResponse(Attempt attempt, BufferedResponse response) {
        activeAttempts.remove(attempt);
        crashProtection.onResponse(attempt);
        deliver(attempt.exchange(), response, attempt.upstream());
    }

    private void deliver(Exchange exchange, BufferedResponse buffered, Upstream upstream) {
        boolean headRequest = exchange.head().method().equals(HttpMethod.HEAD);
        recordDuration(exchange);
        exchange.forwarded().onHead(buffered.head().headers().get(names().seal(), ""));
        exchange.forwarded().onBytes(buffered.body().length);
        var response = ForwardedMessages.completeResponse(buffered, headRequest);
        exchange.connection().sendHead(response, true);
        ReferenceCountUtil.safeRelease(response);
        gateway.onFinished(
                exchange,
                buffered.head().status().code(),
                "answered",
                upstream.entry().id());
    }

    private void recordDuration(Exchange exchange) {
        statistics.service().onCompleted(exchange.route().kind(), nowMs() - exchange.arrivedMs());
    }

    void onStreamEnd(Attempt attempt) {
        activeAttempts.remove(attempt);
        crashProtection.onResponse(attempt);
        endStream(attempt.exchange(), attempt.summary().status(), attempt.upstream());
    }

    /** Sends the end of a stream that is complete. */
    void endStream(Exchange exchange, int status, Upstream upstream) {
        recordDuration(exchange);
        exchange.connection().sendEnd();
        gateway.onFinished(exchange, status, "streamed", upstream.entry().id());
    }

    /** Retries or ends a request after an attempt without a usable response. */
    void onOutcome(Attempt attempt, AttemptOutcome outcome) {
        activeAttempts.remove(attempt);
        Exchange exchange = attempt.exchange();
        if (exchange.done() || exchange.attempt() != attempt) {
            return;
        }
        exchange.setAttempt(null);
        exchange.setLastFailure(outcome.reason());
        long nowMs = nowMs();
        outcomeRecorder.record(attempt, outcome, nowMs);
        RetryDecision decision = retries.decide(exchange, attempt.upstream(), outcome, nowMs);
        ResponseSummary response = attempt.summary();
        gateway.metrics().count("attempts_failed_" + outcome.getClass().getSimpleName());
        gateway.log()
                .event("attempt failed")
                .field("request", exchange.requestId())
                .field("upstream", attempt.upstream().entry().id())
                .field("outcome", outcome.getClass().getSimpleName())
                .field("reason", outcome.reason())
                .field("sentForMs", nowMs - attempt.sentMs())
                .field("deadlineInMs", exchange.deadlineMs() - nowMs)
                .field("responseStarted", attempt.responseStarted())
                .field("status", response.status())
                .field("seal", response.seal())
                .field("framing", response.framing())
                .field("events", response.events())
                .field("bytes", response.bytes())
                .field("lastEvent", exchange.lastEventId())
                .field("inFlight", attempt.upstream().inFlight())
                .field("prompt", String.join(",", exchange.promptParts()))
                .field("again", decision == RetryDecision.AGAIN)
                .field("retry", decision.toString())
                .write();
        if (decision == RetryDecision.AGAIN) {
            enqueueAgain(exchange);
        } else {
            gateway.metrics().count("retries_denied_" + decision);
            if (decision == RetryDecision.NOT_REPEATABLE || !unstatedEnds.await(attempt, outcome, nowMs)) {
                endWithoutResponse(exchange, attempt, outcome);
            }
        }
    }

    /** Queues a request that is sent again. */
    void enqueueAgain(Exchange exchange) {
        queue.add(exchange);
        gateway.execute(this::dispatch);
    }

    private void endWithoutResponse(Exchange exchange, Attempt attempt, AttemptOutcome outcome) {
        if (exchange.headSent()) {
            gateway.abort(exchange, outcome.reason());
            return;
        }
        switch (outcome) {
            case AttemptOutcome.Failed failed -> deliver(exchange, failed.response(), attempt.upstream());
            case AttemptOutcome.Lost lost -> endLost(exchange);
            case AttemptOutcome.Unconfirmed unconfirmed -> endLost(exchange);
            case AttemptOutcome.Stalled stalled -> endLost(exchange);
            case AttemptOutcome.BrokenOff broken -> gateway.abort(exchange, broken.reason());
            case AttemptOutcome.NotRun notRun -> endNotRun(exchange);
            case AttemptOutcome.NotSent notSent -> endNotRun(exchange);
        }
    }

    private void endNotRun(Exchange exchange) {
        if (exchange.mayHaveRun()) {
            endLost(exchange);
        } else {
            refusals.refuse(exchange, ErrorKind.NO_UPSTREAM, "no upstream accepted the request");
        }
    }

    /** Ends a request that can't be sent again, because the upstreams that it may be sent to have left meanwhile. */
    private void endWithoutUpstream(Exchange exchange) {
        if (exchange.headSent()) {
            gateway.abort(exchange, "no upstream is left to resume the stream");
        } else {
            endNotRun(exchange);
        }
    }

    private void endLost(Exchange exchange) {
        gateway.endWithProblem(
                exchange,
                ErrorKind.UPSTREAM_LOST,
                "the upstream returned no valid response; the request may have run",
                -1);
    }

    /** Cancels a request whose client has disconnected. The upstream may finish a non-idempotent request. */
    void cancel(Exchange exchange) {
        refusals.cancel(exchange);
        Attempt attempt = exchange.attempt();
        if (attempt != null) {
            activeAttempts.remove(attempt);
            if (exchange.route().kind() == RouteKind.NON_IDEMPOTENT && attempt.written()) {
                attempt.detach();
                detachedAttempts.add(attempt);
            } else {
                attempt.cancel();
            }
        }
    }

    /** Checks queued requests and attempts in progress against their deadlines. */
    void sweep(long nowMs) {
        sweepCrashProtection(nowMs);
        queue.removeMatching(exchange ->
                        !exchange.headSent() && !gateway.shutdown().admits(exchange, statistics.service(), nowMs))
                .forEach(gateway::endForShutdown);
        queue.removeMatching(exchange -> !exchange.mayHaveRun() && refusals.returnsTooLate(exchange, nowMs))
                .forEach(refusals::endUnservable);
        queue.removeMatching(exchange -> exchange.tried() && !upstreams.anyAdmitted(exchange))
                .forEach(this::endWithoutUpstream);
        refusals.endExpired(nowMs);
        List.copyOf(activeAttempts).forEach(attempt -> sweep(attempt, nowMs));
        unstatedEnds.sweep(nowMs);
        detachedAttempts.sweep(nowMs);
        upstreams.closeExpiredConnections(nowMs);
        dispatch();
    }

    private void sweep(Attempt attempt, long nowMs) {
        Exchange exchange = attempt.exchange();
        if (attempt.ended()) {
            activeAttempts.remove(attempt);
        } else if (nowMs >= exchange.deadlineMs()) {
            cancel(exchange);
            if (exchange.headSent()) {
                gateway.abort(exchange, "deadline exceeded");
            } else {
                gateway.endWithProblem(exchange, ErrorKind.DEADLINE_EXCEEDED, "no response before the deadline", -1);
            }
        } else if (attempt.replaceable()
                && RetryPolicy.isStalled(exchange.route(), attempt.progress(), statistics.service(), nowMs)
                && RetryPolicy.mayRetry(exchange.route(), exchange.sends(), true, exchange.deadlineMs() - nowMs)
                && selector.select(upstreams.list(), exchange, engine, nowMs).isPresent()
                && budget.tryAcquire(nowMs)) {
            // Without another upstream that can take the request now, the silent one may still complete it.
            attempt.cancel();
            onOutcome(attempt, new AttemptOutcome.Stalled("response stalled"));
        }
    }

    /** Closes the idle connections to all upstreams, for example because the VM was suspended. */
    void closeIdleConnections() {
        upstreams.closeIdleConnections();
    }

    boolean engine() {
        return engine;
    }
}
