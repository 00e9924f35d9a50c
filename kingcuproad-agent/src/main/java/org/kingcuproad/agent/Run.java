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
 * One attempt of a request; owns its upstream call and its response buffer. Confined to the event loop of the agent.
 */
final class Run implements UpstreamListener {

    private final RequestDispatcher dispatcher;
    private final ExecutionRecord record;
    private final DispatchRequest request;
    private final String traceparent;
    private final ResponseBuffer buffer;
    private final OutcomeCollector outcomeCollector;
    private final long acceptedMs;
    private final long deadlineMs;
    private @Nullable Dispatch dispatch;
    private @Nullable UpstreamCall upstreamCall;
    private @Nullable Span span;
    private @Nullable ExecuteStream stream;
    private long lastProgressMs;
    private boolean paused;
    private boolean claimGranted;
    private boolean started;
    private long receivedBytes;
    private boolean sent;
    private boolean headReceived;
    private boolean ended;
    private @Nullable ErrorKind failure;
    private boolean closed;
    private long closedMs;

    Run(
            RequestDispatcher dispatcher,
            ExecutionRecord record,
            Dispatch dispatch,
            DispatchRequest request,
            BufferBudget budget,
            long deadlineMs,
            long nowMs) {
        this.dispatcher = dispatcher;
        this.record = record;
        this.dispatch = dispatch;
        this.request = request;
        this.traceparent = dispatch.getTraceparent();
        this.buffer = new ResponseBuffer(budget, nowMs);
        this.outcomeCollector = new OutcomeCollector(!request.idempotent());
        this.deadlineMs = deadlineMs;
        this.acceptedMs = nowMs;
        this.lastProgressMs = nowMs;
    }

    String traceparent() {
        return traceparent;
    }

    /** Records that the claim of the request is in the store. */
    void markClaimGranted() {
        claimGranted = true;
    }

    boolean claimGranted() {
        return claimGranted;
    }

    /** Returns whether the run left the queue and counts towards the concurrency limit. */
    boolean started() {
        return started;
    }

    /** Returns the number of body bytes received from the upstream. */
    long receivedBytes() {
        return receivedBytes;
    }

    ExecutionRecord record() {
        return record;
    }

    DispatchRequest request() {
        return request;
    }

    ResponseBuffer buffer() {
        return buffer;
    }

    OutcomeCollector outcomeCollector() {
        return outcomeCollector;
    }

    /** Returns whether the request may have reached the upstream. */
    boolean sent() {
        return sent;
    }

    /** Returns whether nothing more is expected from the upstream. */
    boolean ended() {
        return ended;
    }

    /** Returns the error kind with which the run failed, or null if it succeeded or has not ended. */
    @Nullable
    ErrorKind failure() {
        return failure;
    }

    /** Returns whether the response was delivered or abandoned. */
    boolean closed() {
        return closed;
    }

    long closedMs() {
        return closedMs;
    }

    long acceptedMs() {
        return acceptedMs;
    }

    /**
     * Sends the request to the upstream.
     *
     * @param client client of the upstream
     * @param upstreamSpan span of the upstream call, which the run ends
     */
    void start(UpstreamClient client, Span upstreamSpan) {
        Dispatch pendingDispatch = dispatch;
        if (pendingDispatch == null) {
            return;
        }
        // Releases the body, because a request is sent to the upstream at most once.
        dispatch = null;
        span = upstreamSpan;
        started = true;
        lastProgressMs = dispatcher.nowMs();
        upstreamCall = client.send(pendingDispatch, Tracing.traceparent(upstreamSpan), this);
        if (ended) {
            upstreamCall.cancel();
        }
    }

    /**
     * Attaches a call that reads the response from an offset, and closes the previous one.
     *
     * @param reader the call
     * @param offset offset of the first byte of the body that the entry has not received
     * @param hasHead whether the entry has received the head
     * @return {@code false} if the bytes from the offset on are no longer buffered
     */
    boolean attach(ExecuteStream reader, long offset, boolean hasHead) {
        Optional<Integer> readerNumber = buffer.attach(offset, hasHead, dispatcher.nowMs());
        if (readerNumber.isEmpty()) {
            return false;
        }
        ExecuteStream previous = stream;
        stream = reader;
        if (previous != null) {
            previous.closeReplaced();
        }
        reader.startReading(this, readerNumber.get());
        updateReadState();
        return true;
    }

    /**
     * Detaches a call whose connection was lost. The run continues until the resume timeout, so that the entry can
     * resume.
     *
     * @param reader the call
     * @param readerNumber its number as a reader
     */
    void detach(ExecuteStream reader, int readerNumber) {
        buffer.detach(readerNumber, dispatcher.nowMs());
        if (stream == reader) {
            stream = null;
        }
    }

    boolean acknowledge(long offset) {
        boolean valid = buffer.acknowledge(offset);
        updateReadState();
        return valid;
    }

    /** Releases the buffer after the entry received the complete response. */
    void delivered() {
        close();
    }

    /**
     * Cancels the run and abandons its response.
     *
     * @param reason reason for the cancellation, included in the failure detail
     */
    void cancel(String reason) {
        fail(sent ? ErrorKind.UPSTREAM_LOST : ErrorKind.NO_UPSTREAM, "cancelled: " + reason);
        close();
    }

    /**
     * Fails the run and cancels its upstream call.
     *
     * @param kind error kind
     * @param detail description of the failure
     */
    void fail(ErrorKind kind, String detail) {
        if (ended) {
            return;
        }
        failure = kind;
        buffer.fail(kind, detail);
        if (upstreamCall != null) {
            upstreamCall.cancel();
        }
        finish();
    }

    /**
     * Ends the run with a stored response, without sending the request to the upstream.
     *
     * @param frames the stored response
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
     * Enforces the deadline, the idle timeout and the resume timeout.
     *
     * @param nowMs current time
     */
    void tick(long nowMs) {
        if (closed) {
            return;
        }
        if (buffer.expired(nowMs)) {
            dispatcher.metrics().abandoned();
            cancel("no entry resumed the response within the resume timeout");
        } else if (!ended) {
            checkTimeouts(nowMs);
            updateReadState();
        }
    }

    /**
     * Logs the end of the run.
     *
     * @param nowMs current time
     */
    void logEnd(long nowMs) {
        Map<String, Object> fields = new HashMap<>();
        fields.put("requestId", request.requestId());
        fields.put("traceparent", span == null ? traceparent : Tracing.traceparent(span));
        fields.put("attempt", request.attempt());
        fields.put("bodyBytes", receivedBytes);
        fields.put("runMs", nowMs - acceptedMs);
        fields.put("failure", failure == null ? "" : failure.label());
        StructuredLog.info("run ended", fields);
    }

    @Override
    public void onSend() {
        sent = true;
    }

    @Override
    public void onHead(int status, List<Map.Entry<String, String>> headers) {
        lastProgressMs = dispatcher.nowMs();
        headReceived = true;
        outcomeCollector.status(status);
        buffer.head(new ResponseFrame.Head(
                status,
                headers.stream()
                        .map(header -> new HeaderField(header.getKey(), header.getValue()))
                        .toList()));
        pump();
    }

    @Override
    public void onBody(byte[] data) {
        lastProgressMs = dispatcher.nowMs();
        receivedBytes += data.length;
        outcomeCollector.append(data);
        if (!buffer.append(Bytes.wrap(data))) {
            fail(ErrorKind.ANSWER_INCOMPLETE, "The response buffer of the agent overflowed.");
            return;
        }
        pump();
        updateReadState();
    }

    @Override
    public void onComplete() {
        if (!ended) {
            outcomeCollector.complete();
            buffer.end();
            finish();
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

    private void checkTimeouts(long nowMs) {
        if (nowMs >= deadlineMs) {
            fail(sent ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_EXCEEDED_NOT_RUN, "The deadline expired.");
        } else if (sent
                && !paused
                && nowMs - lastProgressMs >= dispatcher.timing().idleLimitMs()) {
            fail(failureKind(), "The upstream sent no data within the idle timeout.");
        }
    }

    private void updateReadState() {
        if (upstreamCall == null || ended) {
            return;
        }
        boolean mayRead = buffer.mayReadUpstream();
        if (mayRead && paused) {
            paused = false;
            lastProgressMs = dispatcher.nowMs();
            upstreamCall.resumeReading();
        } else if (!mayRead && !paused) {
            paused = true;
            upstreamCall.pauseReading();
        }
    }

    private void pump() {
        if (stream != null) {
            stream.pump();
        }
    }

    private void finish() {
        ended = true;
        dispatch = null;
        if (span != null) {
            span.setAttribute("requestId", request.requestId());
            span.end();
        }
        dispatcher.runEnded(this);
        pump();
    }

    private void close() {
        if (!closed) {
            closed = true;
            closedMs = dispatcher.nowMs();
            buffer.close();
            dispatcher.runClosed();
        }
    }
}
