package org.kingcuproad.relay;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.Stage;
import org.kingcuproad.model.VersionedDocument;
import org.kingcuproad.platform.HttpObjectStore;
import org.kingcuproad.platform.ObjectStore;
import org.kingcuproad.platform.ObjectStoreSettings;
import org.kingcuproad.platform.Vm;

/** A process that follows the document; an entry also serves it to others. */
final class RelayNode implements FollowerListener, AutoCloseable {

    static final String HOST = "127.0.0.1";
    static final String ENVIRONMENT = "merrimack";

    final String name;
    final List<Long> revisions = new CopyOnWriteArrayList<>();
    private final ObjectStore store;
    private final RelayServer relayServer;
    private final Server server;
    private final DocumentFollower follower;

    private RelayNode(String name, boolean entry, String platformUrl, List<HostPort> peers, EventLoopGroup eventLoops)
            throws IOException {
        this.name = name;
        var eventLoop = eventLoops.next();
        this.store = HttpObjectStore.open(ObjectStoreSettings.of(platformUrl), eventLoops);
        this.relayServer = new RelayServer(ENVIRONMENT, Stage.PRODUCTION.label(), eventLoop);
        this.server = NettyServerBuilder.forAddress(new InetSocketAddress(HOST, 0))
                .bossEventLoopGroup(eventLoops)
                .workerEventLoopGroup(eventLoops)
                .channelType(NioServerSocketChannel.class)
                .executor(eventLoop)
                .addService(relayServer)
                .build()
                .start();
        FollowerOptions options = new FollowerOptions(name, "lowell", ENVIRONMENT, Stage.PRODUCTION, entry, peers);
        this.follower = new DocumentFollower(
                options, store, eventLoop, this, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
        eventLoop.execute(follower::start);
    }

    static RelayNode entry(String name, String platformUrl, EventLoopGroup eventLoops) throws IOException {
        return new RelayNode(name, true, platformUrl, List.of(), eventLoops);
    }

    static RelayNode entryWithPeer(String name, String platformUrl, HostPort peer, EventLoopGroup eventLoops)
            throws IOException {
        return new RelayNode(name, true, platformUrl, List.of(peer), eventLoops);
    }

    static RelayNode agent(String name, String platformUrl, EventLoopGroup eventLoops) throws IOException {
        return new RelayNode(name, false, platformUrl, List.of(), eventLoops);
    }

    HostPort address() {
        return new HostPort(HOST, server.getPort());
    }

    boolean relay() {
        return follower.relay();
    }

    @Override
    public void onDocument(VersionedDocument document) {
        revisions.add(document.revision());
        relayServer.publish(document);
    }

    @Override
    public void onVms(List<Vm> vms) {
        relayServer.publish(vms);
    }

    @Override
    public void close() {
        server.shutdownNow();
        follower.close();
        store.close();
    }
}
