package org.kingcuproad.agent;

import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
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

/** A client connection with one {@code Execute} call. Queues the received messages in order, without heartbeats. */
final class ExecuteClient implements StreamObserver<ExecuteResponse>, AutoCloseable {

    private static final int TIMEOUT_SECONDS = 20;
    private static final ExecuteResponse CLOSED = ExecuteResponse.getDefaultInstance();

    private final ManagedChannel channel;
    private final ScheduledExecutorService heartbeats = Executors.newSingleThreadScheduledExecutor();
    private final StreamObserver<ExecuteRequest> requests;
    private final LinkedBlockingQueue<ExecuteResponse> responses = new LinkedBlockingQueue<>();
    private volatile @Nullable Throwable failure;

    ExecuteClient(int port) {
        channel =
                NettyChannelBuilder.forAddress("127.0.0.1", port).usePlaintext().build();
        requests = AgentServiceGrpc.newStub(channel).execute(this);
        heartbeats.scheduleAtFixedRate(this::heartbeat, 300, 300, TimeUnit.MILLISECONDS);
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
        send(ExecuteRequest.newBuilder().setDispatch(dispatch).build());
        return this;
    }

    ExecuteClient send(Resume.Builder resume) {
        send(ExecuteRequest.newBuilder().setResume(resume).build());
        return this;
    }

    void acknowledge(long offset) {
        Ack ack = Ack.newBuilder().setOffset(offset).build();
        send(ExecuteRequest.newBuilder().setAck(ack).build());
    }

    /** Stops sending heartbeats, to simulate a dead connection. */
    void stopHeartbeats() {
        heartbeats.shutdownNow();
    }

    private synchronized void send(ExecuteRequest request) {
        requests.onNext(request);
    }

    private void heartbeat() {
        Heartbeat heartbeat = Heartbeat.getDefaultInstance();
        send(ExecuteRequest.newBuilder().setHeartbeat(heartbeat).build());
    }

    void halfClose() {
        heartbeats.shutdownNow();
        synchronized (this) {
            requests.onCompleted();
        }
    }

    void cancel() {
        Cancel cancel = Cancel.newBuilder().setReason("caller disconnected").build();
        send(ExecuteRequest.newBuilder().setCancel(cancel).build());
    }

    /** Returns the next message other than a heartbeat, or null if the call has ended. */
    @Nullable
    ExecuteResponse next() throws InterruptedException {
        ExecuteResponse response = responses.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (response == null) {
            throw new AssertionError("the agent sent nothing for " + TIMEOUT_SECONDS + " s");
        }
        return response == CLOSED ? null : response;
    }

    /** Returns why the call failed, or null if it has not. */
    @Nullable
    Throwable failure() {
        return failure;
    }

    @Override
    public void onNext(ExecuteResponse response) {
        if (!response.hasHeartbeat()) {
            responses.add(response);
        }
    }

    @Override
    public void onError(Throwable cause) {
        failure = cause;
        responses.add(CLOSED);
    }

    @Override
    public void onCompleted() {
        responses.add(CLOSED);
    }

    @Override
    public void close() {
        heartbeats.shutdownNow();
        channel.shutdownNow();
    }
}
