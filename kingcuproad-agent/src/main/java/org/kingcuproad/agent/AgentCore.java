package org.kingcuproad.agent;

import io.opentelemetry.api.trace.SpanKind;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.claim.BoundKey;
import org.kingcuproad.policy.claim.DispatchDecision;
import org.kingcuproad.policy.claim.DispatchRequest;
import org.kingcuproad.policy.claim.ExecutionRecord;
import org.kingcuproad.policy.claim.FenceDecision;
import org.kingcuproad.policy.stream.BufferBudget;
import org.kingcuproad.policy.stream.ResponseBuffer;
import org.kingcuproad.policy.stream.ResponseFrame;
import org.kingcuproad.runtime.log.StructuredLog;
import org.kingcuproad.runtime.trace.Tracing;
import org.kingcuproad.wire.proto.Dispatch;
import org.kingcuproad.wire.proto.FenceRequest;
import org.kingcuproad.wire.proto.Resume;

/** Carries out the decisions of the execution record. Lives on the event loop of the agent. */
final class AgentCore {

    private static final String OVERLOADED_DETAIL =
            "the upstream runs as many requests as it may and the queue is full";

    private final AgentOptions options;
    private final LongSupplier clockMs;
    private final UpstreamClient client;
    private final Tracing tracing;
    private final AgentMetrics metrics = new AgentMetrics();
    private final Records records;
    private final ClaimGate gate;
    private final BufferBudget budget = new BufferBudget(BufferBudget.DEFAULT_LIMIT_BYTES);
    private final Map<String, Run> runs = new HashMap<>();
    private final Map<String, Set<ExecuteStream>> waiters = new HashMap<>();
    private final Set<ExecuteStream> streams = new LinkedHashSet<>();
    private final Runnable onIdle;
    private final Deque<Run> queue = new ArrayDeque<>();
    private int active;
    private int running;
    private boolean leaving;

    AgentCore(
            AgentOptions options,
            LongSupplier clockMs,
            UpstreamClient client,
            Function<AgentCore, ClaimGate> gate,
            Runnable onIdle) {
        this.options = options;
        this.clockMs = clockMs;
        this.client = client;
        this.tracing = Tracing.toLog("agent", options.traceSampleRatio());
        this.records = new Records(options.incarnation(), options.maxRemembered());
        this.onIdle = onIdle;
        this.gate = gate.apply(this);
        metrics.gauge("runs.running", () -> running);
        metrics.gauge("runs.queued", queue::size);
        metrics.gauge("connections.open", streams::size);
        metrics.gauge("buffers.bytes", budget::usedBytes);
    }

    long nowMs() {
        return clockMs.getAsLong();
    }

    AgentTiming timing() {
        return options.timing();
    }

    AgentMetrics metrics() {
        return metrics;
    }

    long incarnation() {
        return records.current().incarnation();
    }

    int running() {
        return running;
    }

    int queued() {
        return queue.size();
    }

    boolean leaving() {
        return leaving;
    }

    int openStreams() {
        return streams.size();
    }

    long bufferedBytes() {
        return budget.usedBytes();
    }

    void opened(ExecuteStream stream) {
        streams.add(stream);
    }

    void closed(ExecuteStream stream) {
        streams.remove(stream);
        forgetWaiter(stream);
    }

    /**
     * Decides about a dispatch and carries the decision out.
     *
     * @param dispatch the dispatch
     * @param stream the connection that it came on
     */
    void dispatch(Dispatch dispatch, ExecuteStream stream) {
        String key = dispatch.getIdempotencyKey();
        if (BoundKey.looksBound(key) && BoundKey.parse(key).isEmpty()) {
            stream.refuse(ErrorKind.BAD_REQUEST, "the bound idempotency key is malformed");
            return;
        }
        if (dispatch.getIdempotent() && full() && !runs.containsKey(dispatch.getRequestId())) {
            stream.refuse(ErrorKind.OVERLOADED, OVERLOADED_DETAIL);
            return;
        }
        DispatchRequest order = Orders.of(dispatch);
        ExecutionRecord record = records.named(order.incarnation());
        switch (record.dispatch(order, nowMs())) {
            case DispatchDecision.Run ignored -> admit(dispatch, order, record, stream, false);
            case DispatchDecision.Claim ignored -> admit(dispatch, order, record, stream, true);
            case DispatchDecision.JoinRunning join -> joinRunning(order, join.requestId(), stream);
            case DispatchDecision.JoinFinished join -> joinFinished(order, join, stream);
            case DispatchDecision.Refuse refuse -> stream.refuse(refuse.kind(), refuse.detail());
        }
    }

    /**
     * Lets a connection read a response from an offset.
     *
     * @param resume what to read
     * @param stream the connection
     */
    void resume(Resume resume, ExecuteStream stream) {
        metrics.resumed();
        String requestId = resume.getRequestId();
        ExecutionRecord record = records.named(resume.getIncarnation());
        DispatchDecision decision = record.resume(requestId, resume.getAttempt(), resume.getIncarnation(), nowMs());
        Run run = ownRun(requestId, record);
        if (decision instanceof DispatchDecision.Refuse refuse) {
            stream.refuse(refuse.kind(), refuse.detail());
        } else if (run == null || !run.attach(stream, resume.getOffset(), resume.getHasHead())) {
            stream.answer(unheld(run, resume.getOffset(), decision));
        }
    }

    /**
     * Fences an attempt.
     *
     * @param fence the attempt
     * @return what is certain about it
     */
    FenceDecision fence(FenceRequest fence) {
        ExecutionRecord record = records.named(fence.getIncarnation());
        FenceDecision decision =
                record.fence(fence.getRequestId(), fence.getAttempt(), fence.getIncarnation(), nowMs());
        Run run = ownRun(fence.getRequestId(), record);
        if (decision == FenceDecision.FENCED_NOT_RUN && run != null && !run.ended()) {
            run.fail(ErrorKind.NO_UPSTREAM, "the attempt was fenced before it was claimed");
        }
        return decision;
    }

    /**
     * Runs an order whose claim is in the store, unless it was fenced or gave up meanwhile.
     *
     * @param run the order
     * @return {@code false} if it does not run
     */
    boolean claimGranted(Run run) {
        if (run.ended() || !run.record().beginClaimed(run.order().requestId(), nowMs())) {
            return false;
        }
        run.grant();
        startOrQueue(run);
        return true;
    }

    /**
     * Answers an order with what the claim log knows of its key.
     *
     * @param run the order, which does not run
     * @param frames the stored answer
     */
    void claimAnswered(Run run, List<ResponseFrame> frames) {
        if (!run.ended()) {
            run.record().abandonClaim(run.order().requestId(), nowMs());
            active--;
            run.replay(frames);
        }
    }

    /**
     * Ends an order that could not be claimed.
     *
     * @param run the order, which does not run
     * @param kind why
     * @param detail what went wrong
     */
    void claimFailed(Run run, ErrorKind kind, String detail) {
        run.fail(kind, detail);
    }

    /**
     * Notes the end of a run.
     *
     * @param run the run
     */
    void runEnded(Run run) {
        active--;
        if (run.started()) {
            running--;
        } else {
            queue.remove(run);
        }
        String requestId = run.order().requestId();
        if (run.sent()) {
            run.record().finish(requestId, run.kept().outcome(), nowMs());
        } else {
            run.record().markNotRun(requestId, nowMs());
            run.record().abandonClaim(requestId, nowMs());
        }
        if (run.granted()) {
            gate.finished(run);
        }
        ErrorKind failure = run.failure();
        if (failure == null) {
            metrics.completed(nowMs() - run.startedMs());
        } else {
            metrics.failed(failure);
        }
        run.log(nowMs());
        answerWaiters(run);
        startNext();
    }

    /** Notes that the response of a run was delivered or given up. */
    void runClosed() {
        tellIdle();
    }

    void forgetWaiter(ExecuteStream stream) {
        waiters.values().forEach(set -> set.remove(stream));
        waiters.values().removeIf(Set::isEmpty);
    }

    /** Refuses new work from now on. */
    void leave() {
        leaving = true;
        records.startDraining();
        tellIdle();
    }

    /** Checks all limits of time. */
    void tick() {
        long nowMs = nowMs();
        List.copyOf(streams).forEach(stream -> stream.tick(nowMs));
        List.copyOf(runs.values()).forEach(run -> run.tick(nowMs));
        runs.values().removeIf(run -> run.closed() && nowMs - run.closedMs() >= ResponseBuffer.RESUME_TIMEOUT_MS);
        gate.tick();
        tellIdle();
    }

    /** Replaces a full execution record; tells whether the incarnation changed, so that entries are to be told. */
    boolean renewIncarnation() {
        boolean renewed = records.renew(nowMs());
        if (renewed) {
            StructuredLog.info(
                    "execution record is full, the incarnation changes", Map.of("incarnation", incarnation()));
        }
        return renewed;
    }

    private @Nullable Run ownRun(String requestId, ExecutionRecord record) {
        Run run = runs.get(requestId);
        return run != null && run.record() == record ? run : null;
    }

    private boolean full() {
        return active >= options.maxConcurrent() + options.maxQueued();
    }

    private void admit(
            Dispatch dispatch, DispatchRequest order, ExecutionRecord record, ExecuteStream stream, boolean claim) {
        if (full()) {
            // The record then counts the attempt as fenced, so that the refusal stays true for a late copy.
            record.markNotRun(order.requestId(), nowMs());
            record.abandonClaim(order.requestId(), nowMs());
            stream.refuse(ErrorKind.OVERLOADED, OVERLOADED_DETAIL);
            return;
        }
        long limitMs = dispatch.getDeadlineMs() == 0 ? timing().runLimitMs() : dispatch.getDeadlineMs();
        Run run = new Run(this, record, dispatch, order, budget, nowMs() + limitMs, nowMs());
        active++;
        metrics.accepted();
        Run before = runs.put(order.requestId(), run);
        if (before != null) {
            // Only a further attempt gets here; the entry no longer reads the attempt before it.
            before.cancel("a further attempt replaces it");
        }
        run.attach(stream, 0, false);
        if (claim) {
            gate.claim(run);
        } else {
            startOrQueue(run);
        }
    }

    private void startOrQueue(Run run) {
        queue.add(run);
        startNext();
    }

    private void startNext() {
        while (running < options.maxConcurrent() && !queue.isEmpty()) {
            start(queue.remove());
        }
    }

    private void start(Run run) {
        running++;
        run.start(client, tracing.start("agent.run", SpanKind.CLIENT, run.traceparent()));
    }

    private void joinRunning(DispatchRequest order, String requestId, ExecuteStream stream) {
        metrics.joined();
        Run run = runs.get(requestId);
        if (!requestId.equals(order.requestId())) {
            // Another caller reads the response of that run, so this one waits for the outcome.
            waiters.computeIfAbsent(requestId, id -> new LinkedHashSet<>()).add(stream);
        } else if (run == null || !run.attach(stream, 0, false)) {
            stream.answer(StoredAnswers.alreadyRan());
        }
    }

    private void joinFinished(DispatchRequest order, DispatchDecision.JoinFinished join, ExecuteStream stream) {
        metrics.joined();
        Run run = runs.get(join.requestId());
        boolean own = join.requestId().equals(order.requestId());
        if (!own || run == null || !run.attach(stream, 0, false)) {
            stream.answer(StoredAnswers.frames(join.outcome()));
        }
    }

    private void answerWaiters(Run run) {
        Set<ExecuteStream> waiting = waiters.remove(run.order().requestId());
        if (waiting == null) {
            return;
        }
        ErrorKind failure = run.failure();
        if (!run.sent()) {
            ErrorKind kind = failure == null ? ErrorKind.NO_UPSTREAM : failure;
            waiting.forEach(stream -> stream.refuse(kind, "the order with this key did not run"));
        } else if (failure == ErrorKind.UPSTREAM_LOST || failure == ErrorKind.DEADLINE_EXCEEDED) {
            List<ResponseFrame> unknown =
                    StoredAnswers.failure(ErrorKind.OUTCOME_UNKNOWN, ErrorKind.OUTCOME_UNKNOWN.meaning());
            waiting.forEach(stream -> stream.answer(unknown));
        } else {
            List<ResponseFrame> frames = StoredAnswers.frames(run.kept().outcome());
            waiting.forEach(stream -> stream.answer(frames));
        }
    }

    private static List<ResponseFrame> unheld(@Nullable Run run, long offset, DispatchDecision decision) {
        if (run != null && run.ended() && run.failure() == null && offset == run.receivedBytes()) {
            return List.of(new ResponseFrame.End(offset));
        }
        if (decision instanceof DispatchDecision.JoinFinished finished
                && finished.outcome().isPresent()
                && finished.outcome().get().bodyKept()) {
            return StoredAnswers.frames(finished.outcome());
        }
        return StoredAnswers.failure(ErrorKind.ANSWER_INCOMPLETE, "the rest of the answer is no longer held");
    }

    private void tellIdle() {
        if (leaving && active == 0 && gate.settled() && runs.values().stream().allMatch(Run::closed)) {
            onIdle.run();
        }
    }
}
