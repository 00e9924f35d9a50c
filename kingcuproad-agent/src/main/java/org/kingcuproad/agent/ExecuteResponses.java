package org.kingcuproad.agent;

import com.google.protobuf.UnsafeByteOperations;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.stream.ResponseFrame;
import org.kingcuproad.wire.proto.Accepted;
import org.kingcuproad.wire.proto.Chunk;
import org.kingcuproad.wire.proto.End;
import org.kingcuproad.wire.proto.ExecuteResponse;
import org.kingcuproad.wire.proto.Execution;
import org.kingcuproad.wire.proto.Failed;
import org.kingcuproad.wire.proto.Head;
import org.kingcuproad.wire.proto.Header;
import org.kingcuproad.wire.proto.Heartbeat;
import org.kingcuproad.wire.proto.Refused;

/** Converts decisions and response frames to messages for the entry. */
final class ExecuteResponses {

    private static final ExecuteResponse HEARTBEAT = ExecuteResponse.newBuilder()
            .setHeartbeat(Heartbeat.getDefaultInstance())
            .build();

    private ExecuteResponses() {}

    static ExecuteResponse heartbeat() {
        return HEARTBEAT;
    }

    static ExecuteResponse accepted(long incarnation) {
        return ExecuteResponse.newBuilder()
                .setAccepted(Accepted.newBuilder().setIncarnation(incarnation))
                .build();
    }

    /** Creates a refusal, or a failure if the kind does not rule out that the request was executed. */
    static ExecuteResponse refused(ErrorKind kind, String detail, long incarnation) {
        if (kind.execution() != org.kingcuproad.model.Execution.NOT_RUN) {
            return failed(kind, detail);
        }
        return ExecuteResponse.newBuilder()
                .setRefused(Refused.newBuilder()
                        .setKind(kind.label())
                        .setDetail(detail)
                        .setIncarnation(incarnation))
                .build();
    }

    static ExecuteResponse failed(ErrorKind kind, String detail) {
        return ExecuteResponse.newBuilder()
                .setFailed(Failed.newBuilder()
                        .setKind(kind.label())
                        .setExecution(execution(kind))
                        .setDetail(detail))
                .build();
    }

    static ExecuteResponse of(ResponseFrame frame) {
        return switch (frame) {
            case ResponseFrame.Head head -> head(head);
            case ResponseFrame.Chunk chunk ->
                ExecuteResponse.newBuilder()
                        .setChunk(Chunk.newBuilder()
                                .setOffset(chunk.offset())
                                .setData(UnsafeByteOperations.unsafeWrap(
                                        chunk.data().asByteBuffer())))
                        .build();
            case ResponseFrame.End end ->
                ExecuteResponse.newBuilder()
                        .setEnd(End.newBuilder().setLength(end.length()))
                        .build();
            case ResponseFrame.Failure failure -> failed(failure.kind(), failure.detail());
        };
    }

    private static ExecuteResponse head(ResponseFrame.Head frame) {
        Head.Builder head = Head.newBuilder().setStatus(frame.status());
        frame.headers()
                .forEach(field -> head.addHeaders(
                        Header.newBuilder().setName(field.name()).setValue(field.value())));
        return ExecuteResponse.newBuilder().setHead(head).build();
    }

    private static Execution execution(ErrorKind kind) {
        return switch (kind.execution()) {
            case NOT_RUN -> Execution.EXECUTION_NOT_RUN;
            case RAN -> Execution.EXECUTION_RAN;
            case UNKNOWN -> Execution.EXECUTION_UNKNOWN;
        };
    }
}
