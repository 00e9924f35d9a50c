package org.kingcuproad.agent;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;
import org.kingcuproad.wire.proto.AgentReport;

/** The process beside an upstream. gRPC, HTTP client and admin endpoints share one event loop, which owns all state. */
public final class Agent {

    private final AgentOptions options;
    private final EventLoopGroup eventLoops = new NioEventLoopGroup(1);
    private final EventLoop loop = eventLoops.next();
    private final CompletableFuture<Void> idle = new CompletableFuture<>();
    private final RunCount count = new RunCount(() -> idle.complete(null));
    private final Reports reports = new Reports(this::report);
    private final UpstreamClient client;
    private final Server server;

    private Agent(AgentOptions options) throws KingcuproadException {
        this.options = options;
        this.client = new UpstreamClient(eventLoops, options.upstreamUrl(), options.timing());
        this.server = listen();
        long intervalMs = options.timing().reportIntervalMs();
        loop.scheduleAtFixedRate(reports::publish, intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts an agent.
     *
     * @param options what the agent is told
     * @return the running agent
     * @throws KingcuproadException if an address can't be bound
     */
    public static Agent start(AgentOptions options) throws KingcuproadException {
        return new Agent(options);
    }

    /**
     * Returns the port of the gRPC service.
     *
     * @return the TCP port
     */
    public int port() {
        return server.getPort();
    }

    /**
     * Leaves: tells all subscribers at once, refuses new work, lets running requests finish within the drain limit and
     * then closes the agent.
     *
     * @return completes when the agent is closed
     */
    public CompletableFuture<Void> drain() {
        loop.execute(() -> {
            count.leave();
            reports.publish();
        });
        return idle.completeOnTimeout(null, options.timing().drainLimitMs(), TimeUnit.MILLISECONDS)
                .thenRun(this::close);
    }

    /** Closes the agent at once. */
    public void close() {
        loop.execute(reports::close);
        server.shutdown();
        try {
            client.close();
        } catch (IOException failure) {
            throw new IllegalStateException("cannot close the HTTP client", failure);
        }
        eventLoops.shutdownGracefully(100, 2_000, TimeUnit.MILLISECONDS);
    }

    private Server listen() throws KingcuproadException {
        try {
            return NettyServerBuilder.forAddress(new InetSocketAddress(options.host(), options.port()))
                    .bossEventLoopGroup(eventLoops)
                    .workerEventLoopGroup(eventLoops)
                    .channelType(NioServerSocketChannel.class)
                    .directExecutor()
                    .addService(new AgentCalls(options, client, count, reports))
                    .build()
                    .start();
        } catch (IOException failure) {
            eventLoops.shutdownGracefully();
            String address = options.host() + ":" + options.port();
            throw new KingcuproadException(ErrorKind.INTERNAL, "cannot listen on " + address, failure);
        }
    }

    private AgentReport.Builder report() {
        return AgentReport.newBuilder()
                .setUpstream(options.upstream())
                .setIncarnation(options.incarnation())
                .setInFlight(count.running())
                .setLeaving(count.leaving());
    }
}
