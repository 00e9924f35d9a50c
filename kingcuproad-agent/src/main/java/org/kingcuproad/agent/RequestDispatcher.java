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

/**
 * Executes the decisions of the execution record and limits concurrent runs. Confined to the event loop of the agent.
 */
final class RequestDispatcher {

    private static final String OVERLOADED_DETAIL = "The upstream is at its concurrency limit and the queue is full.";

    private final AgentOptions options;
    private final LongSupplier clockMs;
    private final UpstreamClient client;
    private final Tracing tracing;
    private final AgentMetrics metrics = new AgentMetrics();
    private final ExecutionRecords records;
    private final ClaimService claimService;
    private final BufferBudget bufferBudget = new BufferBudget(BufferBudget.DEFAULT_LIMIT_BYTES);
    private final Map<String, Run> runs = new HashMap<>();
    private final Map<String, Set<ExecuteStream>> waiters = new HashMap<>();
    private final Set<ExecuteStream> streams = new LinkedHashSet<>();
    private final Runnable onIdle;
    private final Deque<Run> queue = new ArrayDeque<>();
    private int activeCount;
    private int running;
    private boolean draining;

    RequestDispatcher(
            AgentOptions options,
            LongSupplier clockMs,
            UpstreamClient client,
            Function<RequestDispatcher, ClaimService> claimServiceFactory,
            Runnable onIdle) {
        this.options = options;
        this.clockMs = clockMs;
        this.client = client;
        this.tracing = Tracing.toLog("agent", options.traceSampleRatio());
        this.records = new ExecutionRecords(options.incarnation(), options.maxRemembered());
        this.onIdle = onIdle;
        this.claimService = claimServiceFactory.apply(this);
        metrics.gauge("runs.running", () -> running);
        metrics.gauge("runs.queued", queue::size);
        metrics.gauge("connections.open", streams::size);
        metrics.gauge("buffers.bytes", bufferBudget::usedBytes);
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

    boolean draining() {
        return draining;
    }

    int openStreams() {
        return streams.size();
    }

    long bufferedBytes() {
        return bufferBudget.usedBytes();
    }

    void streamOpened(ExecuteStream stream) {
        streams.add(stream);
    }

    void streamClosed(ExecuteStream stream) {
        streams.remove(stream);
        removeWaiter(stream);
    }

    /**
     * Handles a dispatch as the execution record decides.
     *
     * @param dispatch the dispatch
     * @param stream the call on which it arrived
     */
    void dispatch(Dispatch dispatch, ExecuteStream stream) {
        String key = dispatch.getIdempotencyKey();
        if (BoundKey.looksBound(key) && BoundKey.parse(key).isEmpty()) {
            stream.refuse(ErrorKind.BAD_REQUEST, "The bound idempotency key is malformed.");
            return;
        }
        if (dispatch.getIdempotent() && atCapacity() && !runs.containsKey(dispatch.getRequestId())) {
            stream.refuse(ErrorKind.OVERLOADED, OVERLOADED_DETAIL);
            return;
        }
        DispatchRequest request = DispatchRequests.of(dispatch);
        ExecutionRecord record = records.forIncarnation(request.incarnation());
        switch (record.dispatch(request, nowMs())) {
            case DispatchDecision.Run ignored -> admit(dispatch, request, record, stream, false);
            case DispatchDecision.Claim ignored -> admit(dispatch, request, record, stream, true);
            case DispatchDecision.JoinRunning join -> joinRunning(request, join.requestId(), stream);
            case DispatchDecision.JoinFinished join -> joinFinished(request, join, stream);
            case DispatchDecision.Refuse refuse -> stream.refuse(refuse.kind(), refuse.detail());
        }
    }

    /**
     * Resumes sending a response from an offset on another call.
     *
     * @param resume the attempt and the offset in its response
     * @param stream the call that reads the response
     */
    void resume(Resume resume, ExecuteStream stream) {
        metrics.resumed();
        String requestId = resume.getRequestId();
        ExecutionRecord record = records.forIncarnation(resume.getIncarnation());
        DispatchDecision decision = record.resume(requestId, resume.getAttempt(), resume.getIncarnation(), nowMs());
        Run run = findRun(requestId, record);
        if (decision instanceof DispatchDecision.Refuse refuse) {
            stream.refuse(refuse.kind(), refuse.detail());
        } else if (run == null || !run.attach(stream, resume.getOffset(), resume.getHasHead())) {
            stream.respond(framesWithoutBuffer(run, resume.getOffset(), decision));
        }
    }

    /**
     * Fences an attempt.
     *
     * @param fence the attempt
     * @return what is known for certain about it
     */
    FenceDecision fence(FenceRequest fence) {
        ExecutionRecord record = records.forIncarnation(fence.getIncarnation());
        FenceDecision decision =
                record.fence(fence.getRequestId(), fence.getAttempt(), fence.getIncarnation(), nowMs());
        Run run = findRun(fence.getRequestId(), record);
        if (decision == FenceDecision.FENCED_NOT_RUN && run != null && !run.ended()) {
            run.fail(ErrorKind.NO_UPSTREAM, "The attempt was fenced before it was claimed.");
        }
        return decision;
    }

    /**
     * Queues a request whose claim is in the store, unless it was fenced or its run ended in the meantime.
     *
     * @param run run of the request
     * @return {@code false} if the request will not be executed
     */
    boolean claimGranted(Run run) {
        if (run.ended() || !run.record().beginClaimed(run.request().requestId(), nowMs())) {
            return false;
        }
        run.markClaimGranted();
        enqueue(run);
        return true;
    }

    /**
     * Responds to a request with the result that the claim log holds for its key.
     *
     * @param run run of the request, which is not executed
     * @param frames the stored response
     */
    void claimAlreadyExecuted(Run run, List<ResponseFrame> frames) {
        if (!run.ended()) {
            run.record().abandonClaim(run.request().requestId(), nowMs());
            activeCount--;
            run.replay(frames);
        }
    }

    /**
     * Ends a request that could not be claimed.
     *
     * @param run run of the request, which is not executed
     * @param kind error kind
     * @param detail description of the failure
     */
    void claimFailed(Run run, ErrorKind kind, String detail) {
        run.fail(kind, detail);
    }

    /**
     * Handles the end of a run: releases its slot, records its outcome and starts the next queued run.
     *
     * @param run the run
     */
    void runEnded(Run run) {
        activeCount--;
        if (run.started()) {
            running--;
        } else {
            queue.remove(run);
        }
        String requestId = run.request().requestId();
        if (run.sent()) {
            run.record().finish(requestId, run.outcomeCollector().outcome(), nowMs());
        } else {
            run.record().markNotRun(requestId, nowMs());
            run.record().abandonClaim(requestId, nowMs());
        }
        if (run.claimGranted()) {
            claimService.finished(run);
        }
        ErrorKind failure = run.failure();
        if (failure == null) {
            metrics.completed(nowMs() - run.acceptedMs());
        } else {
            metrics.failed(failure);
        }
        run.logEnd(nowMs());
        completeWaiters(run);
        startNext();
    }

    /** Handles a run whose response was delivered or abandoned. */
    void runClosed() {
        notifyIfIdle();
    }

    void removeWaiter(ExecuteStream stream) {
        waiters.values().forEach(set -> set.remove(stream));
        waiters.values().removeIf(Set::isEmpty);
    }

    /** Refuses all new requests from now on. */
    void startDraining() {
        draining = true;
        records.startDraining();
        notifyIfIdle();
    }

    /** Processes the timeouts of all calls and runs. */
    void tick() {
        long nowMs = nowMs();
        List.copyOf(streams).forEach(stream -> stream.tick(nowMs));
        List.copyOf(runs.values()).forEach(run -> run.tick(nowMs));
        runs.values().removeIf(run -> run.closed() && nowMs - run.closedMs() >= ResponseBuffer.RESUME_TIMEOUT_MS);
        claimService.tick();
        notifyIfIdle();
    }

    /** Replaces a full execution record; returns whether the incarnation changed and entries have to be notified. */
    boolean renewIncarnation() {
        boolean renewed = records.replaceIfFull(nowMs());
        if (renewed) {
            StructuredLog.info(
                    "execution record is full; started a new incarnation", Map.of("incarnation", incarnation()));
        }
        return renewed;
    }

    private @Nullable Run findRun(String requestId, ExecutionRecord record) {
        Run run = runs.get(requestId);
        return run != null && run.record() == record ? run : null;
    }

    private boolean atCapacity() {
        return activeCount >= options.maxConcurrent() + options.maxQueued();
    }

    private void admit(
            Dispatch dispatch, DispatchRequest request, ExecutionRecord record, ExecuteStream stream, boolean claim) {
        if (atCapacity()) {
            // Fences the attempt in the record, so that a late copy of the dispatch is refused as well.
            record.markNotRun(request.requestId(), nowMs());
            record.abandonClaim(request.requestId(), nowMs());
            stream.refuse(ErrorKind.OVERLOADED, OVERLOADED_DETAIL);
            return;
        }
        long timeLimitMs = dispatch.getDeadlineMs() == 0 ? timing().runLimitMs() : dispatch.getDeadlineMs();
        Run run = new Run(this, record, dispatch, request, bufferBudget, nowMs() + timeLimitMs, nowMs());
        activeCount++;
        metrics.accepted();
        Run previous = runs.put(request.requestId(), run);
        if (previous != null) {
            // Only a later attempt reaches this point; the entry no longer reads the previous one.
            previous.cancel("replaced by a later attempt");
        }
        run.attach(stream, 0, false);
        if (claim) {
            claimService.claim(run);
        } else {
            enqueue(run);
        }
    }

    private void enqueue(Run run) {
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

    private void joinRunning(DispatchRequest request, String requestId, ExecuteStream stream) {
        metrics.joined();
        Run run = runs.get(requestId);
        if (!requestId.equals(request.requestId())) {
            // The response of that run is read by another caller, so this call waits for the outcome.
            waiters.computeIfAbsent(requestId, id -> new LinkedHashSet<>()).add(stream);
        } else if (run == null || !run.attach(stream, 0, false)) {
            stream.respond(StoredResponses.alreadyRan());
        }
    }

    private void joinFinished(DispatchRequest request, DispatchDecision.JoinFinished join, ExecuteStream stream) {
        metrics.joined();
        Run run = runs.get(join.requestId());
        boolean sameRequest = join.requestId().equals(request.requestId());
        if (!sameRequest || run == null || !run.attach(stream, 0, false)) {
            stream.respond(StoredResponses.frames(join.outcome()));
        }
    }

    private void completeWaiters(Run run) {
        Set<ExecuteStream> waitingStreams = waiters.remove(run.request().requestId());
        if (waitingStreams == null) {
            return;
        }
        ErrorKind failure = run.failure();
        if (!run.sent()) {
            ErrorKind kind = failure == null ? ErrorKind.NO_UPSTREAM : failure;
            waitingStreams.forEach(stream -> stream.refuse(kind, "The request with this key was not executed."));
        } else if (failure == ErrorKind.UPSTREAM_LOST || failure == ErrorKind.DEADLINE_EXCEEDED) {
            List<ResponseFrame> unknownOutcome =
                    StoredResponses.failure(ErrorKind.OUTCOME_UNKNOWN, ErrorKind.OUTCOME_UNKNOWN.meaning());
            waitingStreams.forEach(stream -> stream.respond(unknownOutcome));
        } else {
            List<ResponseFrame> frames =
                    StoredResponses.frames(run.outcomeCollector().outcome());
            waitingStreams.forEach(stream -> stream.respond(frames));
        }
    }

    private static List<ResponseFrame> framesWithoutBuffer(@Nullable Run run, long offset, DispatchDecision decision) {
        if (run != null && run.ended() && run.failure() == null && offset == run.receivedBytes()) {
            return List.of(new ResponseFrame.End(offset));
        }
        if (decision instanceof DispatchDecision.JoinFinished finished
                && finished.outcome().isPresent()
                && finished.outcome().get().bodyKept()) {
            return StoredResponses.frames(finished.outcome());
        }
        return StoredResponses.failure(ErrorKind.ANSWER_INCOMPLETE, "The rest of the response is no longer buffered.");
    }

    private void notifyIfIdle() {
        if (draining
                && activeCount == 0
                && claimService.flushed()
                && runs.values().stream().allMatch(Run::closed)) {
            onIdle.run();
        }
    }
}
