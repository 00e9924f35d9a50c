package org.kingcuproad.agent;

import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import org.kingcuproad.wire.proto.AgentReport;
import org.kingcuproad.wire.proto.AgentServiceGrpc;
import org.kingcuproad.wire.proto.ExecuteRequest;
import org.kingcuproad.wire.proto.ExecuteResponse;
import org.kingcuproad.wire.proto.FenceRequest;
import org.kingcuproad.wire.proto.FenceResponse;
import org.kingcuproad.wire.proto.FenceState;
import org.kingcuproad.wire.proto.ReportRequest;

/** The gRPC service of an agent. gRPC calls it on the event loop of the agent. */
final class AgentCalls extends AgentServiceGrpc.AgentServiceImplBase {

    private final AgentCore core;
    private final Reports reports;

    AgentCalls(AgentCore core, Reports reports) {
        this.core = core;
        this.reports = reports;
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
}
