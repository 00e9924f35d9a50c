package org.kingcuproad.agent;

import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.wire.proto.Ack;
import org.kingcuproad.wire.proto.AgentServiceGrpc;
import org.kingcuproad.wire.proto.Cancel;
import org.kingcuproad.wire.proto.Dispatch;
import org.kingcuproad.wire.proto.ExecuteRequest;
import org.kingcuproad.wire.proto.ExecuteResponse;
import org.kingcuproad.wire.proto.Heartbeat;
import org.kingcuproad.wire.proto.Resume;

/** One connection of an entry with one call of {@code Execute}. Keeps the responses without heartbeats in order. */
final class ExecuteClient implements StreamObserver<ExecuteResponse>, AutoCloseable {

    private static final int TIMEOUT_SECONDS = 20;
    private static final ExecuteResponse CLOSED = ExecuteResponse.getDefaultInstance();

    private final ManagedChannel channel;
    private final StreamObserver<ExecuteRequest> requests;
    private final LinkedBlockingQueue<ExecuteResponse> responses = new LinkedBlockingQueue<>();

    ExecuteClient(int port) {
        channel =
                NettyChannelBuilder.forAddress("127.0.0.1", port).usePlaintext().build();
        requests = AgentServiceGrpc.newStub(channel).execute(this);
    }

    static Dispatch.Builder dispatch(String requestId, long incarnation, String method, String path, String body) {
        return Dispatch.newBuilder()
                .setRequestId(requestId)
                .setAttempt(1)
                .setIncarnation(incarnation)
                .setDeadlineMs(60_000)
                .setMethod(method)
                .setPath(path)
                .setBody(ByteString.copyFromUtf8(body));
    }

    ManagedChannel channel() {
        return channel;
    }

    ExecuteClient send(Dispatch.Builder dispatch) {
        requests.onNext(ExecuteRequest.newBuilder().setDispatch(dispatch).build());
        return this;
    }

    ExecuteClient send(Resume.Builder resume) {
        requests.onNext(ExecuteRequest.newBuilder().setResume(resume).build());
        return this;
    }

    void acknowledge(long offset) {
        Ack ack = Ack.newBuilder().setOffset(offset).build();
        requests.onNext(ExecuteRequest.newBuilder().setAck(ack).build());
    }

    void heartbeat() {
        Heartbeat heartbeat = Heartbeat.getDefaultInstance();
        requests.onNext(ExecuteRequest.newBuilder().setHeartbeat(heartbeat).build());
    }

    void cancel() {
        Cancel cancel = Cancel.newBuilder().setReason("caller left").build();
        requests.onNext(ExecuteRequest.newBuilder().setCancel(cancel).build());
    }

    /** Returns the next response that is no heartbeat, or null when the call has ended. */
    @Nullable
    ExecuteResponse next() throws InterruptedException {
        ExecuteResponse response = responses.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (response == null) {
            throw new AssertionError("the agent sent nothing for " + TIMEOUT_SECONDS + " s");
        }
        return response == CLOSED ? null : response;
    }

    @Override
    public void onNext(ExecuteResponse response) {
        if (!response.hasHeartbeat()) {
            responses.add(response);
        }
    }

    @Override
    public void onError(Throwable failure) {
        responses.add(CLOSED);
    }

    @Override
    public void onCompleted() {
        responses.add(CLOSED);
    }

    @Override
    public void close() {
        channel.shutdownNow();
    }
}
