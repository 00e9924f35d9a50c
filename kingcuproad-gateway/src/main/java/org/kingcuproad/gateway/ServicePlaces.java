package org.kingcuproad.gateway;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.gateway.LeastCostSelector;
import org.kingcuproad.policy.gateway.QueueAdmissionDecision;
import org.kingcuproad.policy.gateway.RequestQueue;
import org.kingcuproad.policy.gateway.RetryAfter;
import org.kingcuproad.policy.gateway.RetryPolicy;
import org.kingcuproad.policy.gateway.RouteKind;
import org.kingcuproad.policy.gateway.ServiceConfiguration;
import org.kingcuproad.policy.gateway.ServiceStatistics;
import org.kingcuproad.policy.gateway.StreamAdmissionDecision;
import org.kingcuproad.policy.gateway.UpstreamCandidate;
import org.kingcuproad.policy.gateway.UpstreamEntry;
import org.kingcuproad.policy.gateway.WindowedRetryBudget;

/** The places at the upstreams of one service, the requests that wait for them and those in progress. */
final class ServicePlaces {

    /**
     * A connection that was idle for longer may have been dropped without notice; a request that must not run twice
     * can't be sent again when that shows.
     */
    private static final long ONCE_MAX_IDLE_MS = 1_000;

    private final Gateway gateway;
    private boolean engine;
    private int tokensPerEvent;
    private final Map<String, Upstream> upstreams = new HashMap<>();
    private List<Upstream> order = List.of();
    private final RequestQueue<Exchange> queue = new RequestQueue<>(Exchange::waiting);
    private final Set<Attempt> running = new HashSet<>();
    private final WindowedRetryBudget budget;
    private final ServiceStatistics pace = new ServiceStatistics();
    private int rotation;
    private boolean pumping;

    ServicePlaces(Gateway gateway, WindowedRetryBudget budget) {
        this.gateway = gateway;
        this.budget = budget;
    }

    HeaderNames names() {
        return gateway.names();
    }

    long nowMs() {
        return gateway.clock().steadyMs();
    }

    Collection<Upstream> upstreams() {
        return upstreams.values();
    }

    int waiting() {
        return queue.size();
    }

    /** Replaces the set of upstreams. Requests at upstreams that are no longer there go on. */
    void update(List<UpstreamEntry> entries) {
        Set<String> present = new HashSet<>();
        for (UpstreamEntry entry : entries) {
            present.add(entry.id());
            Upstream known = upstreams.get(entry.id());
            boolean restarted = known != null && known.entry().startedMs() != entry.startedMs();
            boolean moved = known != null
                    && !(known.entry().host().equals(entry.host())
                            && known.entry().port() == entry.port());
            if (known == null || restarted || moved) {
                if (known != null) {
                    known.remove();
                }
                upstreams.put(entry.id(), new Upstream(entry));
            } else {
                known.setEntry(entry);
            }
        }
        List<String> missing =
                upstreams.keySet().stream().filter(id -> !present.contains(id)).toList();
        missing.forEach(id -> Optional.ofNullable(upstreams.remove(id)).ifPresent(Upstream::remove));
        order = List.copyOf(upstreams.values());
        pump();
    }

    /** Takes what the configuration says of the service, which may become known after its first upstreams. */
    void describe(ServiceConfiguration profile) {
        engine = profile.engine();
        tokensPerEvent = profile.tokensPerEvent();
    }

    void adjustBudget(WindowedRetryBudget.Limits limits) {
        budget.adjust(limits);
    }

    /** Takes a new request: sends it, lets it wait, or refuses it. */
    void submit(Exchange exchange) {
        long nowMs = nowMs();
        budget.onRequest(nowMs);
        boolean anyUsable = order.stream().anyMatch(Upstream::usable);
        if (!anyUsable) {
            refuse(exchange, ErrorKind.NO_UPSTREAM, "no upstream of the service is known");
            return;
        }
        double events = tokensPerEvent == 0 ? 0 : exchange.outputTokens() / tokensPerEvent;
        StreamAdmissionDecision completion =
                StreamAdmissionDecision.of(events, pace, exchange.giveUpMs() - nowMs, nowMs);
        if (completion.refused()) {
            long pauseMs = RetryAfter.maxDelayMs(
                    exchange.giveUpMs() - nowMs, ThreadLocalRandom.current().nextDouble());
            gateway.problem(
                    exchange,
                    ErrorKind.OVERLOADED,
                    "the answer would take " + completion.expectedMs() + " ms",
                    pauseMs);
            return;
        }
        queue.add(exchange);
        pump();
        if (exchange.attempt() == null && !exchange.done()) {
            QueueAdmissionDecision decision = QueueAdmissionDecision.of(exchange.waiting(), queue.size(), pace, nowMs);
            if (decision.refused() && queue.remove(exchange)) {
                refuse(exchange, ErrorKind.OVERLOADED, "the expected wait is " + decision.expectedWaitMs() + " ms");
            }
        }
    }

    private void refuse(Exchange exchange, ErrorKind kind, String detail) {
        long nowMs = nowMs();
        long pauseMs = RetryAfter.of(
                queue.size(),
                pace,
                exchange.giveUpMs() - nowMs,
                ThreadLocalRandom.current().nextDouble(),
                nowMs);
        gateway.problem(exchange, kind, detail, pauseMs);
    }

    /** Sends waiting requests as long as there is room. */
    void pump() {
        if (pumping) {
            return;
        }
        pumping = true;
        try {
            long nowMs = nowMs();
            while (queue.size() > 0) {
                Optional<Exchange> next = queue.poll(pace.timeToFirstResponseMs(), nowMs);
                if (next.isEmpty()) {
                    return;
                }
                Exchange exchange = next.get();
                OptionalInt place = choose(exchange, nowMs);
                if (place.isEmpty()) {
                    queue.add(exchange);
                    return;
                }
                send(exchange, order.get(place.getAsInt()), nowMs);
            }
        } finally {
            pumping = false;
        }
    }

    private OptionalInt choose(Exchange exchange, long nowMs) {
        List<UpstreamCandidate> candidates = order.stream()
                .map(upstream -> candidate(upstream, exchange, nowMs))
                .toList();
        return LeastCostSelector.select(candidates, engine, rotation++);
    }

    private UpstreamCandidate candidate(Upstream upstream, Exchange exchange, long nowMs) {
        boolean admitted = upstream.usable()
                && !exchange.tried(upstream.entry().id())
                && upstream.trust().admits(upstream.inFlight(), nowMs);
        PeerLoads.Load peers = gateway.peerLoads().of(upstream.entry().id(), nowMs);
        return new UpstreamCandidate(
                upstream.inFlight() + peers.inFlight(),
                gateway.peerLoads().limit(upstream.entry().slots(), upstream.inFlight(), peers, nowMs),
                upstream.unreadTokens() + peers.unreadTokens(),
                upstream.trust().latencyMs(),
                upstream.trust().failureRate(),
                upstream.paceAt(nowMs),
                upstream.entry().dataCentre().equals(gateway.settings().dataCentre()),
                admitted);
    }

    private void send(Exchange exchange, Upstream upstream, long nowMs) {
        Attempt attempt = new Attempt(this, exchange, upstream, nowMs);
        exchange.setAttempt(attempt);
        exchange.onSend(upstream.entry().id(), nowMs);
        running.add(attempt);
        upstream.onSend(exchange.promptTokens());
        long maxIdleMs = exchange.route().retryable() ? Long.MAX_VALUE : ONCE_MAX_IDLE_MS;
        UpstreamLink idle = upstream.takeIdle(nowMs, maxIdleMs);
        if (idle != null && idle.open()) {
            write(attempt, idle);
        } else {
            gateway.connect(upstream, attempt, this::write);
        }
    }

    private void write(Attempt attempt, UpstreamLink link) {
        Exchange exchange = attempt.exchange();
        if (attempt.over()) {
            link.close();
            return;
        }
        long leftMs = exchange.giveUpMs() - nowMs();
        attempt.onWritten(link);
        link.send(
                attempt,
                Forwarding.request(exchange, names(), attempt.upstream().entry().id(), leftMs));
    }

    void onAnswerBegun(Attempt attempt) {
        long nowMs = nowMs();
        double answerMs = nowMs - attempt.sentMs();
        attempt.upstream().trust().onSuccess(answerMs);
        pace.onResponseStarted(answerMs, nowMs);
    }

    void onGap(double gapMs) {
        pace.onEventInterval(gapMs);
    }

    void onEvent(long eventMs) {
        pace.onEvent(eventMs);
    }

    void onForeignAnswer(Attempt attempt, String foreignId) {
        gateway.log()
                .event("passed over an answer to another request")
                .field("request", attempt.requestId())
                .field("upstream", attempt.upstream().entry().id())
                .field("answerTo", foreignId)
                .write();
    }

    void onPlaceFree() {
        pace.onSlotReleased(nowMs());
        gateway.later(this::pump);
    }

    void onAnswer(Attempt attempt, HeldAnswer answer) {
        running.remove(attempt);
        deliver(attempt.exchange(), answer, attempt.upstream());
    }

    private void deliver(Exchange exchange, HeldAnswer answer, Upstream upstream) {
        boolean headRequest = exchange.head().method().equals(HttpMethod.HEAD);
        var response = Forwarding.whole(answer, headRequest);
        exchange.connection().sendHead(response, true);
        ReferenceCountUtil.safeRelease(response);
        gateway.finished(
                exchange,
                answer.head().status().code(),
                "answered",
                upstream.entry().id());
    }

    void onStreamEnd(Attempt attempt) {
        running.remove(attempt);
        Exchange exchange = attempt.exchange();
        exchange.connection().sendEnd();
        gateway.finished(exchange, 200, "streamed", attempt.upstream().entry().id());
    }

    /** Decides what follows a send that brought no answer for the client. */
    void onOutcome(Attempt attempt, AttemptOutcome outcome) {
        running.remove(attempt);
        Exchange exchange = attempt.exchange();
        if (exchange.done() || exchange.attempt() != attempt) {
            return;
        }
        exchange.setAttempt(null);
        exchange.setLastProblem(outcome.reason());
        long nowMs = nowMs();
        noteOutcome(attempt, outcome, nowMs);
        boolean again = mayTryAgain(exchange, outcome, nowMs);
        gateway.log()
                .event("send failed")
                .field("request", exchange.requestId())
                .field("upstream", attempt.upstream().entry().id())
                .field("outcome", outcome.getClass().getSimpleName())
                .field("reason", outcome.reason())
                .field("sentForMs", nowMs - attempt.sentMs())
                .field("again", again)
                .write();
        if (again) {
            queue.add(exchange);
            gateway.later(this::pump);
        } else {
            giveFinalAnswer(exchange, attempt, outcome);
        }
    }

    /** Takes over what an outcome says of the request and of the upstream. */
    private void noteOutcome(Attempt attempt, AttemptOutcome outcome, long nowMs) {
        Exchange exchange = attempt.exchange();
        Upstream upstream = attempt.upstream();
        switch (outcome) {
            case AttemptOutcome.NotSent notSent -> {
                exchange.onNotSent();
                blame(upstream, outcome, nowMs);
                upstream.closeIdle();
            }
            case AttemptOutcome.NotRun notRun -> {
                if (notRun.replaced()) {
                    upstream.setReplaced();
                }
            }
            case AttemptOutcome.Lost lost -> {
                exchange.setMayHaveRun();
                blame(upstream, outcome, nowMs);
                upstream.closeIdle();
            }
            case AttemptOutcome.Failed failed -> {
                exchange.setMayHaveRun();
                blame(upstream, outcome, nowMs);
            }
        }
    }

    private void blame(Upstream upstream, AttemptOutcome outcome, long nowMs) {
        if (upstream.trust().onFailure(nowMs)) {
            gateway.log()
                    .event("upstream ejected")
                    .field("upstream", upstream.entry().id())
                    .field("reason", outcome.reason())
                    .write();
        }
    }

    private boolean mayTryAgain(Exchange exchange, AttemptOutcome outcome, long nowMs) {
        boolean allowed = RetryPolicy.mayRetry(
                exchange.route(), exchange.sends(), exchange.mayHaveRun(), exchange.giveUpMs() - nowMs);
        boolean possible = order.stream()
                .anyMatch(
                        other -> other.usable() && !exchange.tried(other.entry().id()));
        // A send that reached no upstream costs nobody anything.
        return allowed && possible && (outcome instanceof AttemptOutcome.NotSent || budget.tryAcquire(nowMs));
    }

    private void giveFinalAnswer(Exchange exchange, Attempt attempt, AttemptOutcome outcome) {
        if (exchange.headSent()) {
            gateway.abort(exchange, outcome.reason());
            return;
        }
        switch (outcome) {
            case AttemptOutcome.Failed failed -> deliver(exchange, failed.answer(), attempt.upstream());
            case AttemptOutcome.Lost lost ->
                gateway.problem(exchange, ErrorKind.UPSTREAM_LOST, "the upstream was lost", -1);
            case AttemptOutcome.NotRun notRun -> notRunAnswer(exchange);
            case AttemptOutcome.NotSent notSent -> notRunAnswer(exchange);
        }
    }

    private void notRunAnswer(Exchange exchange) {
        if (exchange.mayHaveRun()) {
            gateway.problem(exchange, ErrorKind.UPSTREAM_LOST, "the upstream was lost", -1);
        } else {
            refuse(exchange, ErrorKind.NO_UPSTREAM, "no upstream took the request");
        }
    }

    /** Ends the work for a client that has left. */
    void cancel(Exchange exchange) {
        queue.remove(exchange);
        Attempt attempt = exchange.attempt();
        if (attempt != null) {
            running.remove(attempt);
            if (exchange.route().kind() == RouteKind.NON_IDEMPOTENT) {
                attempt.detach();
            } else {
                attempt.cancel();
            }
        }
    }

    /** Checks waiting and running requests against their limits. */
    void sweep(long nowMs) {
        for (Exchange exchange : queue.removeExpired(nowMs)) {
            if (exchange.headSent()) {
                gateway.abort(exchange, "no upstream had room to resume");
            } else if (exchange.mayHaveRun()) {
                gateway.problem(exchange, ErrorKind.DEADLINE_EXCEEDED, "no answer in time", -1);
            } else {
                refuse(exchange, ErrorKind.OVERLOADED, "no upstream had room in time");
            }
        }
        for (Attempt attempt : new ArrayList<>(running)) {
            sweep(attempt, nowMs);
        }
        upstreams.values().forEach(upstream -> upstream.sweepIdle(nowMs));
        pump();
    }

    private void sweep(Attempt attempt, long nowMs) {
        Exchange exchange = attempt.exchange();
        if (attempt.over()) {
            running.remove(attempt);
        } else if (nowMs >= exchange.giveUpMs()) {
            cancel(exchange);
            if (exchange.headSent()) {
                gateway.abort(exchange, "time is up");
            } else {
                gateway.problem(exchange, ErrorKind.DEADLINE_EXCEEDED, "no answer in time", -1);
            }
        } else if (RetryPolicy.isStalled(
                        exchange.route(), attempt.answerBegun(), attempt.sentMs(), attempt.lastEventMs(), pace, nowMs)
                && RetryPolicy.mayRetry(exchange.route(), exchange.sends(), true, exchange.giveUpMs() - nowMs)) {
            attempt.cancel();
            onOutcome(attempt, new AttemptOutcome.Lost("no progress"));
        }
    }

    /** Forgets idle connections, for example because the VM was suspended. */
    void closeIdle() {
        upstreams.values().forEach(Upstream::closeIdle);
    }

    boolean engine() {
        return engine;
    }
}
