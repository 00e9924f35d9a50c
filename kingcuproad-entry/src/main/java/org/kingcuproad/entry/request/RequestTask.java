package org.kingcuproad.entry.request;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.entry.link.AgentLink;
import org.kingcuproad.entry.link.ExecuteStream;
import org.kingcuproad.entry.link.LinkEvent;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.Execution;
import org.kingcuproad.policy.stream.AssemblyStep;
import org.kingcuproad.policy.stream.HeartbeatMonitor;
import org.kingcuproad.policy.stream.ResponseFrame;
import org.kingcuproad.runtime.log.StructuredLog;
import org.kingcuproad.wire.proto.ExecuteRequest;
import org.kingcuproad.wire.proto.ExecuteResponse;
import org.kingcuproad.wire.proto.Failed;
import org.kingcuproad.wire.proto.FenceState;
import org.kingcuproad.wire.proto.Refused;

/**
 * One request of a caller, from admission to the end of its response. Confined to the event loop of the entry: every
 * method must be called there.
 */
final class RequestTask {

    static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private static final long RESUME_DELAY_NS = TimeUnit.MILLISECONDS.toNanos(100);
    // Half of the time for which the agent keeps a response that is not being read.
    private static final long RESUME_LIMIT_NS = TimeUnit.SECONDS.toNanos(5);
    private static final long ACK_INTERVAL_BYTES = 64 << 10;

    private final RequestContext context;
    private final RequestDependencies dependencies;
    private final ResponseSink sink;
    private final ExecutionTracker executionTracker = new ExecutionTracker();
    private final Set<String> excluded = new HashSet<>();
    private @Nullable Attempt attempt;
    private int attempts;
    private int priority;
    private long ackedBytes;
    private boolean fencing;
    private boolean done;

    RequestTask(RequestContext context, RequestDependencies dependencies) {
        this.context = context;
        this.dependencies = dependencies;
        this.sink = new ResponseSink(context.exchange(), context.requestId());
    }

    RequestContext context() {
        return context;
    }

    void setPriority(int newPriority) {
        priority = newPriority;
    }

    /** Starts the request by offering it to the admission queue. */
    void start() {
        context.exchange().onClosed(this::onCallerDisconnected);
        dependencies.queues().offer(this, dependencies.clockNs().getAsLong());
    }

    /**
     * Checks the deadline, the heartbeat timers and whether a resume is due.
     *
     * @param nowNs current time, in nanoseconds
     */
    void tick(long nowNs) {
        Attempt current = attempt;
        if (done) {
            return;
        }
        if (nowNs >= context.deadlineNs()) {
            onDeadline();
            return;
        }
        if (current == null) {
            return;
        }
        if (current.resumeAtNs != 0 && nowNs >= current.resumeAtNs) {
            resume(current, nowNs);
        } else if (current.stream != null) {
            checkHeartbeat(current, current.stream, nowNs);
        }
    }

    private void checkHeartbeat(Attempt current, ExecuteStream stream, long nowNs) {
        switch (current.heartbeat.check(nowNs / NANOS_PER_MILLI)) {
            case WAIT -> {}
            case SEND -> sendAck(current, nowNs);
            case ABANDON -> {
                current.link.replaceChannel(stream.channelGeneration());
                onStreamLost(current, "no message for " + HeartbeatMonitor.RECEIVE_TIMEOUT_MS + " ms", nowNs);
            }
        }
    }

    private void retry(ErrorKind kind, String detail, long nowNs) {
        switch (selectLink(nowNs)) {
            case LinkSelection.Selected selected -> dispatchTo(selected.link(), nowNs);
            case LinkSelection.Saturated saturated -> fail(kind, detail);
            case LinkSelection.None none -> fail(kind, detail);
        }
    }

    /**
     * Starts an attempt at an agent.
     *
     * @param agent the agent of the chosen upstream
     * @param nowNs current time, in nanoseconds
     */
    void dispatchTo(AgentLink agent, long nowNs) {
        attempts++;
        Span span = dependencies.tracing().startChild("dispatch " + agent.upstream(), SpanKind.CLIENT, context.span());
        long incarnation = agent.incarnation().orElseThrow();
        Attempt next = new Attempt(attempts, agent, incarnation, nowNs, span);
        attempt = next;
        sink.reset();
        dependencies.selector().onDispatched(next.upstream(), nowNs);
        openStream(next);
        send(next, AgentMessages.dispatch(context, next, priority, nowNs), nowNs);
    }

    /**
     * Chooses the agent of the next attempt.
     *
     * @param nowNs current time, in nanoseconds
     * @return the agent, or the reason why there is none
     */
    LinkSelection selectLink(long nowNs) {
        while (true) {
            switch (selectUpstream(nowNs)) {
                case Selection.Saturated saturated -> {
                    return new LinkSelection.Saturated();
                }
                case Selection.None none -> {
                    return new LinkSelection.None(none.kind(), none.reason());
                }
                case Selection.Selected selected -> {
                    Optional<AgentLink> link = dependencies.links().connected(selected.upstream());
                    if (link.isPresent()) {
                        return new LinkSelection.Selected(link.get());
                    }
                    excluded.add(selected.upstream());
                }
            }
        }
    }

    private Selection selectUpstream(long nowNs) {
        return dependencies
                .selector()
                .select(context.target(), context.workspace(), context.idempotencyKey(), excluded, nowNs);
    }

    /**
     * Returns whether the request was dispatched at least once.
     *
     * @return {@code true} once the first attempt was sent
     */
    boolean dispatched() {
        return attempts > 0;
    }

    /**
     * Refuses the request before its first attempt.
     *
     * @param kind error kind, which must state that the request did not run
     * @param detail explanation that the caller receives
     */
    void refuse(ErrorKind kind, String detail) {
        if (!done) {
            fail(kind, detail);
        }
    }

    private void openStream(Attempt current) {
        int streamNumber = ++current.streamNumber;
        current.stream = current.link.execute(event -> onLinkEvent(current, streamNumber, event));
    }

    private void onLinkEvent(Attempt source, int streamNumber, LinkEvent event) {
        // Ignores events of an earlier attempt or of a connection that was abandoned.
        if (done || source != attempt || streamNumber != source.streamNumber) {
            return;
        }
        long nowNs = dependencies.clockNs().getAsLong();
        switch (event) {
            case LinkEvent.Received received -> onMessage(source, received.message(), nowNs);
            case LinkEvent.Closed closed -> onStreamLost(source, closed.detail(), nowNs);
        }
    }

    private void onMessage(Attempt current, ExecuteResponse message, long nowNs) {
        current.heartbeat.received(nowNs / NANOS_PER_MILLI);
        current.lostSinceNs = 0;
        switch (message.getMessageCase()) {
            case ACCEPTED, HEARTBEAT, MESSAGE_NOT_SET -> {}
            case REFUSED -> onRefused(message.getRefused(), nowNs);
            case FAILED -> onFailed(message.getFailed(), nowNs);
            case HEAD -> onFrame(current, AgentMessages.head(message.getHead()), nowNs);
            case CHUNK -> onFrame(current, AgentMessages.chunk(message.getChunk()), nowNs);
            case END -> onFrame(current, new ResponseFrame.End(message.getEnd().getLength()), nowNs);
        }
    }

    private void onFrame(Attempt current, ResponseFrame frame, long nowNs) {
        switch (current.assembler.accept(current.number, frame)) {
            case AssemblyStep.Drop drop -> {}
            case AssemblyStep.DeliverHead deliver -> sink.head(deliver.head());
            case AssemblyStep.DeliverBytes deliver -> deliver(current, deliver, nowNs);
            case AssemblyStep.Complete complete -> onComplete(current, nowNs);
            case AssemblyStep.Abort abort -> onResponseAborted(abort, nowNs);
        }
    }

    private void deliver(Attempt current, AssemblyStep.DeliverBytes deliver, long nowNs) {
        recordFirstByte(current, nowNs);
        sink.chunk(deliver.data().toArray());
        if (sink.consumedBytes() - ackedBytes >= ACK_INTERVAL_BYTES) {
            sendAck(current, nowNs);
        }
    }

    private void recordFirstByte(Attempt current, long nowNs) {
        if (current.firstByteReceived) {
            return;
        }
        current.firstByteReceived = true;
        double latencyMs = (double) (nowNs - current.startedNs) / NANOS_PER_MILLI;
        dependencies.selector().onFirstByte(current.upstream(), latencyMs, nowNs);
        dependencies.queues().onFirstByte(this, latencyMs, nowNs);
        dependencies.metrics().timer("requests.firstByte").update(nowNs - context.startedNs(), TimeUnit.NANOSECONDS);
    }

    private void onComplete(Attempt current, long nowNs) {
        send(current, AgentMessages.ack(current.assembler.resumeOffset()), nowNs);
        endAttempt(AttemptOutcome.COMPLETE);
        sink.complete();
        finish("complete", "");
    }

    private void onResponseAborted(AssemblyStep.Abort abort, long nowNs) {
        endAttempt(AttemptOutcome.FAILED);
        retryOrFail(abort.kind(), abort.kind().execution(), abort.detail(), nowNs);
    }

    private void onRefused(Refused refused, long nowNs) {
        ErrorKind kind = ErrorKind.ofLabel(refused.getKind()).orElse(ErrorKind.NO_UPSTREAM);
        endAttempt(AttemptOutcome.REFUSED);
        retryOrFail(kind, Execution.NOT_RUN, refused.getDetail(), nowNs);
    }

    private void onFailed(Failed failed, long nowNs) {
        ErrorKind kind = ErrorKind.ofLabel(failed.getKind()).orElse(ErrorKind.UPSTREAM_LOST);
        endAttempt(AttemptOutcome.FAILED);
        retryOrFail(kind, AgentMessages.execution(failed.getExecution()), failed.getDetail(), nowNs);
    }

    private void onStreamLost(Attempt current, String detail, long nowNs) {
        current.closeStream();
        current.resumeAtNs = 0;
        boolean firstLoss = current.lostSinceNs == 0;
        if (firstLoss) {
            current.lostSinceNs = nowNs;
            current.resumeAtNs = nowNs;
            tick(nowNs);
            return;
        }
        boolean canRetryElsewhere = context.target().idempotent() && !sink.started();
        if (canRetryElsewhere || nowNs - current.lostSinceNs > RESUME_LIMIT_NS) {
            abandonAttempt(detail, nowNs);
        } else {
            current.resumeAtNs = nowNs + RESUME_DELAY_NS;
        }
    }

    private void resume(Attempt current, long nowNs) {
        current.resumeAtNs = 0;
        current.heartbeat = new HeartbeatMonitor(nowNs / NANOS_PER_MILLI);
        openStream(current);
        send(current, AgentMessages.resume(context, current), nowNs);
    }

    private void abandonAttempt(String detail, long nowNs) {
        ErrorKind kind = sink.started() ? ErrorKind.ANSWER_INCOMPLETE : ErrorKind.UPSTREAM_LOST;
        endAttempt(AttemptOutcome.FAILED);
        retryOrFail(kind, kind.execution(), detail, nowNs);
    }

    private void retryOrFail(ErrorKind kind, Execution execution, String detail, long nowNs) {
        executionTracker.onAttemptFailed(kind, execution);
        boolean idempotent = context.target().idempotent();
        boolean retryAllowed = RetryRule.mayRetry(kind, execution, idempotent, sink.started(), attempts);
        if (retryAllowed && withinBudget(kind)) {
            dependencies.metrics().counter("requests.retried").inc();
            retry(kind, detail, nowNs);
        } else {
            fail(kind, detail);
        }
    }

    /**
     * Checks the retry budget. A refusal by a leaving agent is exempt: it is rare and cheap, and must not fail a
     * caller's request during a planned shutdown.
     */
    private boolean withinBudget(ErrorKind kind) {
        return kind == ErrorKind.SHUTTING_DOWN || dependencies.retryBudget().getAsBoolean();
    }

    private void onDeadline() {
        Attempt current = attempt;
        if (current == null) {
            fail(ErrorKind.DEADLINE_EXCEEDED_NOT_RUN, "the deadline passed before the request was sent");
            return;
        }
        if (fencing) {
            return;
        }
        fencing = true;
        current.link.fence(AgentMessages.fence(context, current)).whenComplete((state, failure) -> {
            boolean notRun = failure == null && state == FenceState.FENCE_STATE_FENCED_NOT_RUN;
            onFenced(current, notRun);
        });
    }

    private void onFenced(Attempt current, boolean notRun) {
        if (done) {
            return;
        }
        if (context.target().idempotent()) {
            send(current, AgentMessages.cancel("deadline exceeded"), context.deadlineNs());
        }
        endAttempt(AttemptOutcome.CANCELLED);
        ErrorKind kind = notRun ? ErrorKind.DEADLINE_EXCEEDED_NOT_RUN : ErrorKind.DEADLINE_EXCEEDED;
        fail(kind, kind.meaning());
    }

    private void onCallerDisconnected() {
        Attempt current = attempt;
        // A non-idempotent request runs to its end, so that a retry by the caller learns its outcome.
        if (done || !context.target().idempotent()) {
            return;
        }
        if (current != null) {
            send(
                    current,
                    AgentMessages.cancel("caller disconnected"),
                    dependencies.clockNs().getAsLong());
            endAttempt(AttemptOutcome.CANCELLED);
        }
        finish("caller disconnected", "");
    }

    private void sendAck(Attempt current, long nowNs) {
        ackedBytes = sink.consumedBytes();
        send(current, AgentMessages.ack(ackedBytes), nowNs);
    }

    private void send(Attempt current, ExecuteRequest message, long nowNs) {
        if (current.stream != null) {
            current.heartbeat.sent(nowNs / NANOS_PER_MILLI);
            current.stream.send(message);
        }
    }

    private void endAttempt(AttemptOutcome outcome) {
        Attempt current = attempt;
        if (current == null) {
            return;
        }
        attempt = null;
        ackedBytes = 0;
        current.closeStream();
        current.span.setAttribute("outcome", outcome.name());
        current.span.end();
        if (outcome != AttemptOutcome.COMPLETE) {
            excluded.add(current.upstream());
        }
        dependencies
                .selector()
                .onEnded(
                        current.upstream(),
                        outcome,
                        current.startedNs,
                        dependencies.clockNs().getAsLong());
    }

    private void fail(ErrorKind lastKind, String detail) {
        ErrorKind kind = executionTracker.kindForCaller(lastKind);
        sink.fail(kind, detail);
        dependencies.metrics().counter("requests.failed." + kind.label()).inc();
        finish(kind.label(), detail);
    }

    private void finish(String result, String detail) {
        done = true;
        long durationNs = dependencies.clockNs().getAsLong() - context.startedNs();
        dependencies.metrics().timer("requests.duration").update(durationNs, TimeUnit.NANOSECONDS);
        context.span().setAttribute("result", result);
        context.span().end();
        StructuredLog.info(
                "request ended",
                Map.of(
                        "requestId", context.requestId(),
                        "traceId", context.span().getSpanContext().getTraceId(),
                        "workspace", context.workspace(),
                        "result", result,
                        "detail", detail,
                        "attempts", attempts,
                        "durationMs", TimeUnit.NANOSECONDS.toMillis(durationNs)));
        dependencies.onEnd().accept(this);
    }
}
