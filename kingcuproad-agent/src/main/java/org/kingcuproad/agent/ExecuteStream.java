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
 * One call of {@code Execute}, which connects an entry to one run. Confined to the event loop of the agent.
 *
 * <p>After the final frame the call stays open until the entry closes its side or acknowledges the whole body, because
 * a frame that was written to a socket may be lost if the connection fails.
 */
final class ExecuteStream implements StreamObserver<ExecuteRequest> {

    private static final int MAX_CHUNK_BYTES = 32 * 1024;

    private final RequestDispatcher dispatcher;
    private final LongSupplier clockMs;
    private final ServerCallStreamObserver<ExecuteResponse> responses;
    private final HeartbeatMonitor heartbeatMonitor;
    private @Nullable Run run;
    private int readerNumber;
    private boolean firstMessageReceived;
    private boolean finalFrameSent;
    private boolean closed;

    ExecuteStream(
            RequestDispatcher dispatcher, LongSupplier clockMs, ServerCallStreamObserver<ExecuteResponse> responses) {
        this.dispatcher = dispatcher;
        this.clockMs = clockMs;
        this.responses = responses;
        this.heartbeatMonitor = new HeartbeatMonitor(clockMs.getAsLong());
        dispatcher.streamOpened(this);
        responses.setOnReadyHandler(this::pump);
        responses.setOnCancelHandler(this::connectionLost);
    }

    @Override
    public void onNext(ExecuteRequest request) {
        heartbeatMonitor.received(clockMs.getAsLong());
        if (closed) {
            return;
        }
        switch (request.getMessageCase()) {
            case DISPATCH -> handleFirstMessage(() -> dispatcher.dispatch(request.getDispatch(), this));
            case RESUME -> handleFirstMessage(() -> dispatcher.resume(request.getResume(), this));
            case ACK -> acknowledge(request.getAck().getOffset());
            case CANCEL -> cancel(request.getCancel().getReason());
            case HEARTBEAT, MESSAGE_NOT_SET -> {}
        }
    }

    @Override
    public void onError(Throwable failure) {
        connectionLost();
    }

    @Override
    public void onCompleted() {
        if (finalFrameSent && !closed) {
            completeDelivery();
        }
    }

    /**
     * Starts to send the response of a run.
     *
     * @param attachedRun the run
     * @param number number of this reader in the response buffer of the run
     */
    void startReading(Run attachedRun, int number) {
        run = attachedRun;
        readerNumber = number;
        send(ExecuteResponses.accepted(dispatcher.incarnation()));
        pump();
    }

    /** Sends buffered frames of the run while the call is ready to accept messages. */
    void pump() {
        if (run == null) {
            return;
        }
        while (!closed && !finalFrameSent && responses.isReady()) {
            Optional<ResponseFrame> frame = run.buffer().next(readerNumber, MAX_CHUNK_BYTES);
            if (frame.isEmpty()) {
                return;
            }
            send(ExecuteResponses.of(frame.get()));
            finalFrameSent = frame.get() instanceof ResponseFrame.End || frame.get() instanceof ResponseFrame.Failure;
        }
    }

    /**
     * Refuses the dispatch or resume and closes the call.
     *
     * @param kind error kind
     * @param detail reason for the refusal
     */
    void refuse(ErrorKind kind, String detail) {
        send(ExecuteResponses.refused(kind, detail, dispatcher.incarnation()));
        complete();
    }

    /**
     * Sends a response that does not come from a run and closes the call.
     *
     * @param frames a complete response or a failure
     */
    void respond(Iterable<ResponseFrame> frames) {
        send(ExecuteResponses.accepted(dispatcher.incarnation()));
        frames.forEach(frame -> send(ExecuteResponses.of(frame)));
        complete();
    }

    /** Closes the call because another connection now reads the response. */
    void closeReplaced() {
        closeWithError(Status.ABORTED.withDescription("Another connection reads this response."));
    }

    /**
     * Sends a heartbeat if one is due, and closes the call if the entry has sent nothing within the timeout.
     *
     * @param nowMs current time
     */
    void tick(long nowMs) {
        if (closed) {
            return;
        }
        switch (heartbeatMonitor.check(nowMs)) {
            case SEND -> send(ExecuteResponses.heartbeat());
            case ABANDON -> {
                dispatcher.metrics().silentConnection();
                connectionLost();
                closeWithError(Status.UNAVAILABLE.withDescription(
                        "No message arrived from the entry within the heartbeat timeout."));
            }
            case WAIT -> {}
        }
    }

    private void handleFirstMessage(Runnable action) {
        if (firstMessageReceived) {
            closeWithError(Status.INVALID_ARGUMENT.withDescription("A call accepts only one dispatch or resume."));
            return;
        }
        firstMessageReceived = true;
        action.run();
    }

    private void acknowledge(long offset) {
        if (run == null) {
            return;
        }
        if (!run.acknowledge(offset)) {
            connectionLost();
            closeWithError(Status.INVALID_ARGUMENT.withDescription(
                    "The acknowledged offset is beyond the bytes received from the upstream."));
        } else if (finalFrameSent && run.buffer().unacknowledgedBytes() == 0) {
            completeDelivery();
        }
    }

    private void cancel(String reason) {
        if (run != null) {
            run.cancel(reason);
        }
        complete();
    }

    private void completeDelivery() {
        Run deliveredRun = run;
        complete();
        if (deliveredRun != null) {
            deliveredRun.delivered();
        }
    }

    private void connectionLost() {
        closed = true;
        dispatcher.streamClosed(this);
        if (run != null) {
            run.detach(this, readerNumber);
        }
    }

    private void send(ExecuteResponse response) {
        if (!responses.isCancelled()) {
            heartbeatMonitor.sent(clockMs.getAsLong());
            responses.onNext(response);
        }
    }

    private void complete() {
        closed = true;
        dispatcher.streamClosed(this);
        if (!responses.isCancelled()) {
            responses.onCompleted();
        }
    }

    private void closeWithError(Status status) {
        closed = true;
        dispatcher.streamClosed(this);
        if (!responses.isCancelled()) {
            responses.onError(status.asRuntimeException());
        }
    }
}
