package org.kingcuproad.agent;

import com.google.protobuf.UnsafeByteOperations;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.wire.proto.Accepted;
import org.kingcuproad.wire.proto.Chunk;
import org.kingcuproad.wire.proto.Dispatch;
import org.kingcuproad.wire.proto.End;
import org.kingcuproad.wire.proto.ExecuteRequest;
import org.kingcuproad.wire.proto.ExecuteResponse;
import org.kingcuproad.wire.proto.Execution;
import org.kingcuproad.wire.proto.Failed;
import org.kingcuproad.wire.proto.Head;
import org.kingcuproad.wire.proto.Header;
import org.kingcuproad.wire.proto.Heartbeat;
import org.kingcuproad.wire.proto.Refused;

/** One call of {@code Execute}: runs a dispatch and sends its response. Lives on the event loop of the agent. */
final class ExecuteStream implements StreamObserver<ExecuteRequest>, UpstreamListener {

    private final AgentOptions options;
    private final UpstreamClient client;
    private final RunCount count;
    private final ServerCallStreamObserver<ExecuteResponse> responses;
    private @Nullable UpstreamCall call;
    private long offset;
    private boolean sent;
    private boolean headSent;
    private boolean running;

    ExecuteStream(
            AgentOptions options,
            UpstreamClient client,
            RunCount count,
            ServerCallStreamObserver<ExecuteResponse> responses) {
        this.options = options;
        this.client = client;
        this.count = count;
        this.responses = responses;
        responses.setOnCancelHandler(this::cancel);
    }

    @Override
    public void onNext(ExecuteRequest request) {
        switch (request.getMessageCase()) {
            case DISPATCH -> dispatch(request.getDispatch());
            case HEARTBEAT -> {
                Heartbeat heartbeat = Heartbeat.getDefaultInstance();
                respond(ExecuteResponse.newBuilder().setHeartbeat(heartbeat).build());
            }
            case CANCEL -> cancel();
            case RESUME -> refuse(ErrorKind.UPSTREAM_LOST, "resuming is not supported");
            case ACK, MESSAGE_NOT_SET -> {}
        }
    }

    @Override
    public void onError(Throwable failure) {
        cancel();
    }

    @Override
    public void onCompleted() {}

    @Override
    public void onSend() {
        sent = true;
    }

    @Override
    public void onHead(int status, List<Map.Entry<String, String>> headers) {
        headSent = true;
        Head.Builder head = Head.newBuilder().setStatus(status);
        headers.forEach(header ->
                head.addHeaders(Header.newBuilder().setName(header.getKey()).setValue(header.getValue())));
        respond(ExecuteResponse.newBuilder().setHead(head).build());
    }

    @Override
    public void onBody(byte[] data) {
        Chunk chunk = Chunk.newBuilder()
                .setOffset(offset)
                .setData(UnsafeByteOperations.unsafeWrap(data))
                .build();
        offset += data.length;
        respond(ExecuteResponse.newBuilder().setChunk(chunk).build());
    }

    @Override
    public void onComplete() {
        End end = End.newBuilder().setLength(offset).build();
        finish(ExecuteResponse.newBuilder().setEnd(end).build());
    }

    @Override
    public void onFailure(Throwable failure) {
        if (!sent) {
            refuse(ErrorKind.NO_UPSTREAM, "the upstream does not accept connections");
            return;
        }
        ErrorKind kind = headSent ? ErrorKind.ANSWER_INCOMPLETE : ErrorKind.UPSTREAM_LOST;
        Failed failed = Failed.newBuilder()
                .setKind(kind.label())
                .setExecution(headSent ? Execution.EXECUTION_RAN : Execution.EXECUTION_UNKNOWN)
                .setDetail(String.valueOf(failure.getMessage()))
                .build();
        finish(ExecuteResponse.newBuilder().setFailed(failed).build());
    }

    private void dispatch(Dispatch dispatch) {
        if (dispatch.getIncarnation() != 0 && dispatch.getIncarnation() != options.incarnation()) {
            refuse(ErrorKind.NO_UPSTREAM, "the dispatch names another incarnation");
        } else if (count.leaving()) {
            refuse(ErrorKind.SHUTTING_DOWN, ErrorKind.SHUTTING_DOWN.meaning());
        } else if (count.running() >= options.maxConcurrent()) {
            refuse(ErrorKind.OVERLOADED, "the upstream runs as many requests as it may");
        } else {
            running = true;
            count.started();
            Accepted accepted =
                    Accepted.newBuilder().setIncarnation(options.incarnation()).build();
            respond(ExecuteResponse.newBuilder().setAccepted(accepted).build());
            call = client.send(dispatch, this);
        }
    }

    private void refuse(ErrorKind kind, String detail) {
        Refused refused = Refused.newBuilder()
                .setKind(kind.label())
                .setDetail(detail)
                .setIncarnation(options.incarnation())
                .build();
        finish(ExecuteResponse.newBuilder().setRefused(refused).build());
    }

    private void respond(ExecuteResponse response) {
        if (!responses.isCancelled()) {
            responses.onNext(response);
        }
    }

    private void finish(ExecuteResponse last) {
        respond(last);
        if (!responses.isCancelled()) {
            responses.onCompleted();
        }
        end();
    }

    private void cancel() {
        if (call != null && running) {
            call.cancel();
        }
        end();
    }

    private void end() {
        if (running) {
            running = false;
            count.ended();
        }
    }
}
