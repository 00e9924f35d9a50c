package org.kingcuproad.gateway.rank;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.kingcuproad.gateway.Clock;
import org.kingcuproad.gateway.HttpReply;
import org.kingcuproad.gateway.ProcessMetrics;
import org.kingcuproad.gateway.SerialHttpConnection;
import org.kingcuproad.policy.lockstep.RankState;
import org.kingcuproad.runtime.log.DecisionLog;

/** Acts at the engine of another rank while that rank's agent is silent. Such calls are charged, so they are rare. */
final class RankProxy {

    /** The network adds about a millisecond to the answer of an engine. */
    private static final long TIMEOUT_MS = 100;

    /** Least time between two reports. */
    private static final long POLL_MS = 50;

    private static final byte[] NO_BODY = new byte[0];

    private final int rank;
    private final EngineDialect dialect;
    private final SerialHttpConnection connection;
    private final RankOrders orders;
    private final Clock clock;
    private final DecisionLog log;
    private boolean polling;
    private long polledMs = Long.MIN_VALUE / 2;

    RankProxy(
            int rank,
            EngineDialect dialect,
            EventLoop eventLoop,
            InetSocketAddress engine,
            Clock clock,
            DecisionLog log,
            ProcessMetrics metrics) {
        this.rank = rank;
        this.dialect = dialect;
        this.connection = new SerialHttpConnection(eventLoop, engine);
        this.orders = new RankOrders(dialect, eventLoop, engine, clock, log, metrics);
        this.clock = clock;
        this.log = log;
    }

    RankOrders orders() {
        return orders;
    }

    /** Reads the state of the rank, unless that was done just now. */
    void poll(Consumer<RankState> onState) {
        long nowMs = clock.steadyMs();
        if (polling || nowMs - polledMs < POLL_MS) {
            return;
        }
        polling = true;
        polledMs = nowMs;
        connection.call(HttpMethod.GET, dialect.reportTarget(), NO_BODY, TIMEOUT_MS, reply -> {
            polling = false;
            if (reply instanceof HttpReply.Response answer && answer.ok()) {
                try {
                    dialect.readReport(answer.body())
                            .state(clock.steadyMs())
                            .filter(state -> state.rank() == rank)
                            .ifPresent(onState);
                } catch (IOException unreadable) {
                    log.event("unreadable report")
                            .field("rank", rank)
                            .field("reason", String.valueOf(unreadable))
                            .write();
                }
            }
        });
    }

    void close() {
        connection.close();
        orders.close();
    }
}
