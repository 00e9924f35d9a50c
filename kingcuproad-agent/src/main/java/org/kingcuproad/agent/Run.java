package org.kingcuproad.agent;

import io.opentelemetry.api.trace.Span;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.claim.DispatchRequest;
import org.kingcuproad.policy.claim.ExecutionRecord;
import org.kingcuproad.policy.stream.BufferBudget;
import org.kingcuproad.policy.stream.Bytes;
import org.kingcuproad.policy.stream.HeaderField;
import org.kingcuproad.policy.stream.ResponseBuffer;
import org.kingcuproad.policy.stream.ResponseFrame;
import org.kingcuproad.runtime.log.StructuredLog;
import org.kingcuproad.runtime.trace.Tracing;
import org.kingcuproad.wire.proto.Dispatch;

/**
 * The task of one request: owns its upstream call and the buffer of its response. Lives on the event loop of the agent.
 */
final class Run implements UpstreamListener {

    private final AgentCore core;
    private final ExecutionRecord record;
    private final DispatchRequest order;
    private final String traceparent;
    private final ResponseBuffer buffer;
    private final KeptAnswer kept;
    private final long startedMs;
    private final long deadlineMs;
    private @Nullable Dispatch dispatch;
    private @Nullable UpstreamCall call;
    private @Nullable Span span;
    private @Nullable ExecuteStream stream;
    private long progressMs;
    private boolean paused;
    private boolean granted;
    private boolean started;
    private long receivedBytes;
    private boolean sent;
    private boolean headReceived;
    private boolean ended;
    private @Nullable ErrorKind failure;
    private boolean closed;
    private long closedMs;

    Run(
            AgentCore core,
            ExecutionRecord record,
            Dispatch dispatch,
            DispatchRequest order,
            BufferBudget budget,
            long deadlineMs,
            long nowMs) {
        this.core = core;
        this.record = record;
        this.dispatch = dispatch;
        this.order = order;
        this.traceparent = dispatch.getTraceparent();
        this.buffer = new ResponseBuffer(budget, nowMs);
        this.kept = new KeptAnswer(!order.idempotent());
        this.deadlineMs = deadlineMs;
        this.startedMs = nowMs;
        this.progressMs = nowMs;
    }

    String traceparent() {
        return traceparent;
    }

    /** Notes that the claim of the order is in the store. */
    void grant() {
        granted = true;
    }

    boolean granted() {
        return granted;
    }

    /** Tells whether the run took a place at the upstream. */
    boolean started() {
        return started;
    }

    /** Returns the bytes of the body that the upstream sent. */
    long receivedBytes() {
        return receivedBytes;
    }

    ExecutionRecord record() {
        return record;
    }

    DispatchRequest order() {
        return order;
    }

    ResponseBuffer buffer() {
        return buffer;
    }

    KeptAnswer kept() {
        return kept;
    }

    /** Tells whether the request may have reached the upstream. */
    boolean sent() {
        return sent;
    }

    /** Tells whether the upstream owes nothing any more. */
    boolean ended() {
        return ended;
    }

    /** Returns the kind of the failure that ended the run, or null if it ended well or has not ended. */
    @Nullable
    ErrorKind failure() {
        return failure;
    }

    /** Tells whether the response was delivered or given up. */
    boolean closed() {
        return closed;
    }

    long closedMs() {
        return closedMs;
    }

    long startedMs() {
        return startedMs;
    }

    /**
     * Hands the request to the upstream.
     *
     * @param client connections to the upstream
     * @param hop span of this hop, which the run ends
     */
    void start(UpstreamClient client, Span hop) {
        Dispatch request = dispatch;
        if (request == null) {
            return;
        }
        // The body is not needed again: a request is handed to the upstream at most once.
        dispatch = null;
        span = hop;
        started = true;
        progressMs = core.nowMs();
        call = client.send(request, Tracing.traceparent(hop), this);
        if (ended) {
            call.cancel();
        }
    }

    /**
     * Lets a connection read the response from an offset; the connection before it is closed.
     *
     * @param reader the connection
     * @param offset first byte of the body that the entry has not received
     * @param hasHead whether the entry has the head
     * @return {@code false} if the bytes from the offset on are no longer held
     */
    boolean attach(ExecuteStream reader, long offset, boolean hasHead) {
        Optional<Integer> number = buffer.attach(offset, hasHead, core.nowMs());
        if (number.isEmpty()) {
            return false;
        }
        ExecuteStream before = stream;
        stream = reader;
        if (before != null) {
            before.replace();
        }
        reader.join(this, number.get());
        controlReading();
        return true;
    }

    /**
     * Notes that a connection was lost. The run goes on for a time, so that the entry can resume.
     *
     * @param reader the connection
     * @param number its number as a reader
     */
    void detach(ExecuteStream reader, int number) {
        buffer.detach(number, core.nowMs());
        if (stream == reader) {
            stream = null;
        }
    }

    boolean acknowledge(long offset) {
        boolean valid = buffer.acknowledge(offset);
        controlReading();
        return valid;
    }

    /** Frees the buffer: the entry has the whole response. */
    void delivered() {
        close();
    }

    /**
     * Ends the run at the wish of the entry.
     *
     * @param reason why, for the log
     */
    void cancel(String reason) {
        fail(sent ? ErrorKind.UPSTREAM_LOST : ErrorKind.NO_UPSTREAM, "cancelled: " + reason);
        close();
    }

    /**
     * Ends the run without an answer from the upstream.
     *
     * @param kind kind of the failure
     * @param detail what went wrong
     */
    void fail(ErrorKind kind, String detail) {
        if (ended) {
            return;
        }
        failure = kind;
        buffer.fail(kind, detail);
        if (call != null) {
            call.cancel();
        }
        end();
    }

    /**
     * Ends the run with an answer that was stored before, without handing it to the upstream.
     *
     * @param frames the stored answer
     */
    void replay(List<ResponseFrame> frames) {
        for (ResponseFrame frame : frames) {
            switch (frame) {
                case ResponseFrame.Head head -> buffer.head(head);
                case ResponseFrame.Chunk chunk -> buffer.append(chunk.data());
                case ResponseFrame.End end -> buffer.end();
                case ResponseFrame.Failure failed -> buffer.fail(failed.kind(), failed.detail());
            }
        }
        ended = true;
        dispatch = null;
        pump();
    }

    /**
     * Enforces the limits of time.
     *
     * @param nowMs present time
     */
    void tick(long nowMs) {
        if (closed) {
            return;
        }
        if (buffer.expired(nowMs)) {
            core.metrics().abandoned();
            cancel("no entry resumed the response");
        } else if (!ended) {
            checkLimits(nowMs);
            controlReading();
        }
    }

    /**
     * Logs the end of the run.
     *
     * @param nowMs present time
     */
    void log(long nowMs) {
        Map<String, Object> fields = new HashMap<>();
        fields.put("requestId", order.requestId());
        fields.put("traceparent", span == null ? traceparent : Tracing.traceparent(span));
        fields.put("attempt", order.attempt());
        fields.put("bodyBytes", receivedBytes);
        fields.put("runMs", nowMs - startedMs);
        fields.put("failure", failure == null ? "" : failure.label());
        StructuredLog.info("run ended", fields);
    }

    @Override
    public void onSend() {
        sent = true;
    }

    @Override
    public void onHead(int status, List<Map.Entry<String, String>> headers) {
        progressMs = core.nowMs();
        headReceived = true;
        kept.status(status);
        buffer.head(new ResponseFrame.Head(
                status,
                headers.stream()
                        .map(header -> new HeaderField(header.getKey(), header.getValue()))
                        .toList()));
        pump();
    }

    @Override
    public void onBody(byte[] data) {
        progressMs = core.nowMs();
        receivedBytes += data.length;
        kept.append(data);
        if (!buffer.append(Bytes.wrap(data))) {
            fail(ErrorKind.ANSWER_INCOMPLETE, "the response buffer overflowed");
            return;
        }
        pump();
        controlReading();
    }

    @Override
    public void onComplete() {
        if (!ended) {
            kept.complete();
            buffer.end();
            end();
        }
    }

    @Override
    public void onFailure(Throwable cause) {
        String detail = cause.getMessage() == null ? cause.getClass().getSimpleName() : cause.getMessage();
        fail(failureKind(), "upstream: " + detail);
    }

    private ErrorKind failureKind() {
        if (!sent) {
            return ErrorKind.NO_UPSTREAM;
        }
        return headReceived ? ErrorKind.ANSWER_INCOMPLETE : ErrorKind.UPSTREAM_LOST;
    }

    private void checkLimits(long nowMs) {
        if (nowMs >= deadlineMs) {
            fail(sent ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_EXCEEDED_NOT_RUN, "the deadline passed");
        } else if (sent && !paused && nowMs - progressMs >= core.timing().idleLimitMs()) {
            fail(failureKind(), "the upstream went silent");
        }
    }

    private void controlReading() {
        if (call == null || ended) {
            return;
        }
        boolean read = buffer.mayReadUpstream();
        if (read && paused) {
            paused = false;
            progressMs = core.nowMs();
            call.resumeReading();
        } else if (!read && !paused) {
            paused = true;
            call.pauseReading();
        }
    }

    private void pump() {
        if (stream != null) {
            stream.pump();
        }
    }

    private void end() {
        ended = true;
        dispatch = null;
        if (span != null) {
            span.setAttribute("requestId", order.requestId());
            span.end();
        }
        core.runEnded(this);
        pump();
    }

    private void close() {
        if (!closed) {
            closed = true;
            closedMs = core.nowMs();
            buffer.close();
            core.runClosed();
        }
    }
}
