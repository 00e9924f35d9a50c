package org.kingcuproad.agent;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.wire.proto.AgentServiceGrpc;
import org.kingcuproad.wire.proto.QueryPromiseRequest;
import org.kingcuproad.wire.proto.QueryPromiseResponse;

/** Connections to the other agents of a model group. Confined to the event loop of the agent. */
final class PeerClient {

    private static final long QUERY_DEADLINE_MS = 1_000;

    private final EventLoopGroup eventLoops;
    private final List<HostPort> addresses;
    private final Map<HostPort, ManagedChannel> channels = new HashMap<>();

    PeerClient(EventLoopGroup eventLoops, List<HostPort> addresses) {
        this.eventLoops = eventLoops;
        this.addresses = new ArrayList<>(addresses);
    }

    /** Changes the address of an agent, for example after its VM was replaced. */
    void updateAddress(int rank, HostPort address) {
        addresses.set(rank, address);
    }

    /** Queries another agent. Failures are ignored because the rank resends unanswered queries. */
    void query(int rank, QueryPromiseRequest request, Consumer<QueryPromiseResponse> onResponse) {
        AgentServiceGrpc.newStub(channels.computeIfAbsent(addresses.get(rank), this::openChannel))
                .withDeadlineAfter(QUERY_DEADLINE_MS, TimeUnit.MILLISECONDS)
                .queryPromise(request, new StreamObserver<>() {
                    @Override
                    public void onNext(QueryPromiseResponse response) {
                        onResponse.accept(response);
                    }

                    @Override
                    public void onError(Throwable failure) {}

                    @Override
                    public void onCompleted() {}
                });
    }

    void close() {
        channels.values().forEach(ManagedChannel::shutdownNow);
    }

    private ManagedChannel openChannel(HostPort address) {
        return NettyChannelBuilder.forAddress(address.host(), address.port())
                .usePlaintext()
                .eventLoopGroup(eventLoops)
                .channelType(NioSocketChannel.class)
                .directExecutor()
                .build();
    }
}
