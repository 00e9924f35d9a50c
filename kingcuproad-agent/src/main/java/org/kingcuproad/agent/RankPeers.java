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

/** Connections to the other agents of a model group. Lives on the event loop of the agent. */
final class RankPeers {

    private static final long DEADLINE_MS = 1_000;

    private final EventLoopGroup eventLoops;
    private final List<HostPort> addresses;
    private final Map<HostPort, ManagedChannel> channels = new HashMap<>();

    RankPeers(EventLoopGroup eventLoops, List<HostPort> addresses) {
        this.eventLoops = eventLoops;
        this.addresses = new ArrayList<>(addresses);
    }

    /** Uses another address for an agent from now on, because its VM was replaced. */
    void move(int rank, HostPort address) {
        addresses.set(rank, address);
    }

    /** Asks another agent; a question that gets no answer is asked again by the rank. */
    void ask(int rank, QueryPromiseRequest request, Consumer<QueryPromiseResponse> onAnswer) {
        AgentServiceGrpc.newStub(channels.computeIfAbsent(addresses.get(rank), this::open))
                .withDeadlineAfter(DEADLINE_MS, TimeUnit.MILLISECONDS)
                .queryPromise(request, new StreamObserver<>() {
                    @Override
                    public void onNext(QueryPromiseResponse response) {
                        onAnswer.accept(response);
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

    private ManagedChannel open(HostPort address) {
        return NettyChannelBuilder.forAddress(address.host(), address.port())
                .usePlaintext()
                .eventLoopGroup(eventLoops)
                .channelType(NioSocketChannel.class)
                .directExecutor()
                .build();
    }
}
