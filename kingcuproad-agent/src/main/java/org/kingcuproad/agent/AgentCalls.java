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

/** The gRPC service of an agent. gRPC calls it on the event loop of the agent. */
final class AgentCalls extends AgentServiceGrpc.AgentServiceImplBase {

    private final AgentCore core;
    private final Reports reports;
    private final @Nullable MapRank maps;

    AgentCalls(AgentCore core, Reports reports, @Nullable MapRank maps) {
        this.core = core;
        this.reports = reports;
        this.maps = maps;
    }

    @Override
    public StreamObserver<ExecuteRequest> execute(StreamObserver<ExecuteResponse> responses) {
        return new ExecuteStream(core, core::nowMs, (ServerCallStreamObserver<ExecuteResponse>) responses);
    }

    @Override
    public void fence(FenceRequest request, StreamObserver<FenceResponse> responses) {
        FenceState state = switch (core.fence(request)) {
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
        reports.subscribe((ServerCallStreamObserver<AgentReport>) responses, request.getIntervalMs(), core.nowMs());
    }

    @Override
    public void prepareMap(PrepareMapRequest request, StreamObserver<PrepareMapResponse> responses) {
        withMaps(responses, rank -> rank.prepare(request, responses));
    }

    @Override
    public void queryPromise(QueryPromiseRequest request, StreamObserver<QueryPromiseResponse> responses) {
        withMaps(responses, rank -> rank.query(request, responses));
    }

    @Override
    public void settleMap(SettleMapRequest request, StreamObserver<SettleMapResponse> responses) {
        withMaps(responses, rank -> rank.settle(request, responses));
    }

    private void withMaps(StreamObserver<?> responses, Consumer<MapRank> action) {
        if (maps == null) {
            responses.onError(Status.FAILED_PRECONDITION
                    .withDescription("the upstream has no expert maps")
                    .asRuntimeException());
        } else {
            action.accept(maps);
        }
    }
}
