package org.kingcuproad.agent;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.wire.proto.AgentReport;
import org.kingcuproad.wire.proto.AgentServiceGrpc;
import org.kingcuproad.wire.proto.ExecuteRequest;
import org.kingcuproad.wire.proto.ExecuteResponse;
import org.kingcuproad.wire.proto.FenceRequest;
import org.kingcuproad.wire.proto.FenceResponse;
import org.kingcuproad.wire.proto.FenceState;
import org.kingcuproad.wire.proto.PrepareMapRequest;
import org.kingcuproad.wire.proto.PrepareMapResponse;
import org.kingcuproad.wire.proto.QueryPromiseRequest;
import org.kingcuproad.wire.proto.QueryPromiseResponse;
import org.kingcuproad.wire.proto.ReportRequest;
import org.kingcuproad.wire.proto.SettleMapRequest;
import org.kingcuproad.wire.proto.SettleMapResponse;

/** The gRPC service of an agent. gRPC invokes it on the event loop of the agent. */
final class AgentGrpcService extends AgentServiceGrpc.AgentServiceImplBase {

    private final RequestDispatcher dispatcher;
    private final ReportPublisher reportPublisher;
    private final @Nullable RankSwitchExecutor rankExecutor;

    AgentGrpcService(
            RequestDispatcher dispatcher, ReportPublisher reportPublisher, @Nullable RankSwitchExecutor rankExecutor) {
        this.dispatcher = dispatcher;
        this.reportPublisher = reportPublisher;
        this.rankExecutor = rankExecutor;
    }

    @Override
    public StreamObserver<ExecuteRequest> execute(StreamObserver<ExecuteResponse> responses) {
        return new ExecuteStream(dispatcher, dispatcher::nowMs, (ServerCallStreamObserver<ExecuteResponse>) responses);
    }

    @Override
    public void fence(FenceRequest request, StreamObserver<FenceResponse> responses) {
        FenceState state = switch (dispatcher.fence(request)) {
            case FENCED_NOT_RUN -> FenceState.FENCE_STATE_FENCED_NOT_RUN;
            case RUNNING -> FenceState.FENCE_STATE_RUNNING;
            case RAN -> FenceState.FENCE_STATE_RAN;
            case UNKNOWN_INCARNATION -> FenceState.FENCE_STATE_UNKNOWN_INCARNATION;
        };
        responses.onNext(FenceResponse.newBuilder().setState(state).build());
        responses.onCompleted();
    }

    @Override
    public void report(ReportRequest request, StreamObserver<AgentReport> responses) {
        reportPublisher.subscribe(
                (ServerCallStreamObserver<AgentReport>) responses, request.getIntervalMs(), dispatcher.nowMs());
    }

    @Override
    public void prepareMap(PrepareMapRequest request, StreamObserver<PrepareMapResponse> responses) {
        withRankExecutor(responses, executor -> executor.prepare(request, responses));
    }

    @Override
    public void queryPromise(QueryPromiseRequest request, StreamObserver<QueryPromiseResponse> responses) {
        withRankExecutor(responses, executor -> executor.query(request, responses));
    }

    @Override
    public void settleMap(SettleMapRequest request, StreamObserver<SettleMapResponse> responses) {
        withRankExecutor(responses, executor -> executor.settle(request, responses));
    }

    private void withRankExecutor(StreamObserver<?> responses, Consumer<RankSwitchExecutor> action) {
        if (rankExecutor == null) {
            responses.onError(Status.FAILED_PRECONDITION
                    .withDescription("The upstream has no expert maps.")
                    .asRuntimeException());
        } else {
            action.accept(rankExecutor);
        }
    }
}
