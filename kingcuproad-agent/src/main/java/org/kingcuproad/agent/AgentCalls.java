package org.kingcuproad.agent;

import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import org.kingcuproad.wire.proto.AgentReport;
import org.kingcuproad.wire.proto.AgentServiceGrpc;
import org.kingcuproad.wire.proto.ExecuteRequest;
import org.kingcuproad.wire.proto.ExecuteResponse;
import org.kingcuproad.wire.proto.ReportRequest;

/** The gRPC service of an agent. gRPC calls it on the event loop of the agent. */
final class AgentCalls extends AgentServiceGrpc.AgentServiceImplBase {

    private final AgentOptions options;
    private final UpstreamClient client;
    private final RunCount count;
    private final Reports reports;

    AgentCalls(AgentOptions options, UpstreamClient client, RunCount count, Reports reports) {
        this.options = options;
        this.client = client;
        this.count = count;
        this.reports = reports;
    }

    @Override
    public StreamObserver<ExecuteRequest> execute(StreamObserver<ExecuteResponse> responses) {
        return new ExecuteStream(options, client, count, (ServerCallStreamObserver<ExecuteResponse>) responses);
    }

    @Override
    public void report(ReportRequest request, StreamObserver<AgentReport> responses) {
        reports.subscribe((ServerCallStreamObserver<AgentReport>) responses);
    }
}
