package org.kingcuproad.agent;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.stream.HeartbeatMonitor;
import org.kingcuproad.policy.stream.ResponseFrame;
import org.kingcuproad.wire.proto.ExecuteRequest;
import org.kingcuproad.wire.proto.ExecuteResponse;

/**
 * One call of {@code Execute}: a connection of an entry to one run. Lives on the event loop of the agent.
 *
 * <p>After the last frame the call stays open until the entry closes its side or acknowledges the whole body, because a
 * frame that was written to a socket may still be lost with it.
 */
final class ExecuteStream implements StreamObserver<ExecuteRequest> {

    private static final int MAX_CHUNK_BYTES = 32 * 1024;

    private final AgentCore core;
    private final LongSupplier clockMs;
    private final ServerCallStreamObserver<ExecuteResponse> responses;
    private final HeartbeatMonitor heartbeats;
    private @Nullable Run run;
    private int reader;
    private boolean begun;
    private boolean lastSent;
    private boolean closed;

    ExecuteStream(AgentCore core, LongSupplier clockMs, ServerCallStreamObserver<ExecuteResponse> responses) {
        this.core = core;
        this.clockMs = clockMs;
        this.responses = responses;
        this.heartbeats = new HeartbeatMonitor(clockMs.getAsLong());
        core.opened(this);
        responses.setOnReadyHandler(this::pump);
        responses.setOnCancelHandler(this::lose);
    }

    @Override
    public void onNext(ExecuteRequest request) {
        heartbeats.received(clockMs.getAsLong());
        if (closed) {
            return;
        }
        switch (request.getMessageCase()) {
            case DISPATCH -> begin(() -> core.dispatch(request.getDispatch(), this));
            case RESUME -> begin(() -> core.resume(request.getResume(), this));
            case ACK -> acknowledge(request.getAck().getOffset());
            case CANCEL -> cancel(request.getCancel().getReason());
            case HEARTBEAT, MESSAGE_NOT_SET -> {}
        }
    }

    @Override
    public void onError(Throwable failure) {
        lose();
    }

    @Override
    public void onCompleted() {
        if (lastSent && !closed) {
            confirm();
        }
    }

    /**
     * Reads a run from now on.
     *
     * @param joined the run
     * @param number number of this reader in the buffer of the run
     */
    void join(Run joined, int number) {
        run = joined;
        reader = number;
        send(Frames.accepted(core.incarnation()));
        pump();
    }

    /** Sends what the buffer of the run holds, as far as the connection takes it. */
    void pump() {
        if (run == null) {
            return;
        }
        while (!closed && !lastSent && responses.isReady()) {
            Optional<ResponseFrame> frame = run.buffer().next(reader, MAX_CHUNK_BYTES);
            if (frame.isEmpty()) {
                return;
            }
            send(Frames.of(frame.get()));
            lastSent = frame.get() instanceof ResponseFrame.End || frame.get() instanceof ResponseFrame.Failure;
        }
    }

    /**
     * Refuses the dispatch or resume and closes the call.
     *
     * @param kind kind of the refusal
     * @param detail why
     */
    void refuse(ErrorKind kind, String detail) {
        send(Frames.refused(kind, detail, core.incarnation()));
        complete();
    }

    /**
     * Sends frames that come from no run and closes the call.
     *
     * @param frames a whole answer or a failure
     */
    void answer(Iterable<ResponseFrame> frames) {
        send(Frames.accepted(core.incarnation()));
        frames.forEach(frame -> send(Frames.of(frame)));
        complete();
    }

    /** Closes the call, because another connection reads its run now. */
    void replace() {
        fail(Status.ABORTED.withDescription("another connection reads this response"));
    }

    /**
     * Sends a heartbeat if one is due and gives the connection up if the entry went silent.
     *
     * @param nowMs present time
     */
    void tick(long nowMs) {
        if (closed) {
            return;
        }
        switch (heartbeats.check(nowMs)) {
            case SEND -> send(Frames.heartbeat());
            case ABANDON -> {
                core.metrics().silentConnection();
                lose();
                fail(Status.UNAVAILABLE.withDescription("the entry went silent"));
            }
            case WAIT -> {}
        }
    }

    private void begin(Runnable first) {
        if (begun) {
            fail(Status.INVALID_ARGUMENT.withDescription("a call takes one dispatch or resume"));
            return;
        }
        begun = true;
        first.run();
    }

    private void acknowledge(long offset) {
        if (run == null) {
            return;
        }
        if (!run.acknowledge(offset)) {
            lose();
            fail(Status.INVALID_ARGUMENT.withDescription("the acknowledged bytes were never sent"));
        } else if (lastSent && run.buffer().unacknowledgedBytes() == 0) {
            confirm();
        }
    }

    private void cancel(String reason) {
        if (run != null) {
            run.cancel(reason);
        }
        complete();
    }

    private void confirm() {
        Run confirmed = run;
        complete();
        if (confirmed != null) {
            confirmed.delivered();
        }
    }

    private void lose() {
        closed = true;
        core.closed(this);
        if (run != null) {
            run.detach(this, reader);
        }
    }

    private void send(ExecuteResponse response) {
        if (!responses.isCancelled()) {
            heartbeats.sent(clockMs.getAsLong());
            responses.onNext(response);
        }
    }

    private void complete() {
        closed = true;
        core.closed(this);
        if (!responses.isCancelled()) {
            responses.onCompleted();
        }
    }

    private void fail(Status status) {
        closed = true;
        core.closed(this);
        if (!responses.isCancelled()) {
            responses.onError(status.asRuntimeException());
        }
    }
}
