package org.kingcuproad.relay;

import io.grpc.ManagedChannel;
import io.grpc.netty.NettyChannelBuilder;
import io.grpc.stub.StreamObserver;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.wire.proto.DocumentUpdate;
import org.kingcuproad.wire.proto.RelayServiceGrpc;
import org.kingcuproad.wire.proto.SubscribeRequest;

/** A subscription to one relay over a connection of its own. */
final class RelaySubscription {

    // A document of 8 MiB, the largest that the store's form may expand to, and its frame.
    private static final int MAX_MESSAGE_BYTES = 9 << 20;

    private final ManagedChannel channel;
    private boolean closed;

    private RelaySubscription(ManagedChannel channel) {
        this.channel = channel;
    }

    /**
     * Opens a subscription.
     *
     * @param address relay address of an entry
     * @param request what to subscribe to
     * @param eventLoop event loop that carries the connection and receives the updates
     * @param listener receives the updates until {@link #close()}
     * @return the subscription
     */
    static RelaySubscription open(
            HostPort address, SubscribeRequest request, EventLoop eventLoop, Consumer<DocumentUpdate> listener) {
        ManagedChannel channel = NettyChannelBuilder.forAddress(new InetSocketAddress(address.host(), address.port()))
                .eventLoopGroup(eventLoop)
                .channelType(NioSocketChannel.class, InetSocketAddress.class)
                .maxInboundMessageSize(MAX_MESSAGE_BYTES)
                .executor(eventLoop)
                .usePlaintext()
                .build();
        RelaySubscription subscription = new RelaySubscription(channel);
        RelayServiceGrpc.newStub(channel).subscribe(request, new StreamObserver<>() {
            @Override
            public void onNext(DocumentUpdate update) {
                if (!subscription.closed) {
                    listener.accept(update);
                }
            }

            @Override
            public void onError(Throwable failure) {
                // The follower resubscribes when it has heard nothing for a while.
            }

            @Override
            public void onCompleted() {
                // As for an error.
            }
        });
        return subscription;
    }

    /** Closes the connection. */
    void close() {
        closed = true;
        channel.shutdownNow();
    }
}
