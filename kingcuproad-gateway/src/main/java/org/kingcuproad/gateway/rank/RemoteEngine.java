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

/**
 * Connection to the engine of another rank, used while that rank's agent is silent. Calls between VMs are charged, so
 * it is used sparingly.
 */
final class RemoteEngine {

    /** Response timeout; the network adds about a millisecond to the response time of an engine. */
    private static final long CALL_TIMEOUT_MS = 100;

    /** Minimum time between two reads of the state. */
    private static final long MIN_POLL_INTERVAL_MS = 50;

    private static final byte[] NO_BODY = new byte[0];

    private final int rank;
    private final EngineDialect dialect;
    private final SerialHttpConnection connection;
    private final EngineOrderSender orderSender;
    private final Clock clock;
    private final DecisionLog log;
    private boolean pollInProgress;
    private long lastPollMs = Long.MIN_VALUE / 2;

    RemoteEngine(
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
        this.orderSender = new EngineOrderSender(dialect, eventLoop, engine, clock, log, metrics);
        this.clock = clock;
        this.log = log;
    }

    EngineOrderSender orderSender() {
        return orderSender;
    }

    /** Reads the state of the rank, unless a read is in progress or the last one began less than 50 ms ago. */
    void poll(Consumer<RankState> onState) {
        long nowMs = clock.steadyMs();
        if (pollInProgress || nowMs - lastPollMs < MIN_POLL_INTERVAL_MS) {
            return;
        }
        pollInProgress = true;
        lastPollMs = nowMs;
        connection.call(HttpMethod.GET, dialect.reportTarget(), NO_BODY, CALL_TIMEOUT_MS, reply -> {
            pollInProgress = false;
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
        orderSender.close();
    }
}
