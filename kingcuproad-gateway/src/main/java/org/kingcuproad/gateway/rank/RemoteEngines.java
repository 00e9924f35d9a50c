package org.kingcuproad.gateway.rank;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import org.kingcuproad.gateway.Clock;
import org.kingcuproad.gateway.ProcessMetrics;
import org.kingcuproad.runtime.log.DecisionLog;

/** Connections of an agent to the engines of other ranks in the current formation of the group. */
final class RemoteEngines {

    private final EngineDialect dialect;
    private final EventLoop eventLoop;
    private final Clock clock;
    private final DecisionLog log;
    private final ProcessMetrics metrics;
    private final Map<Integer, RemoteEngine> byRank = new HashMap<>();

    RemoteEngines(EngineDialect dialect, EventLoop eventLoop, Clock clock, DecisionLog log, ProcessMetrics metrics) {
        this.dialect = dialect;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /** Returns the connection to the engine of a rank, which is created on first use. */
    RemoteEngine of(int rank, InetSocketAddress address) {
        return byRank.computeIfAbsent(
                rank, unused -> new RemoteEngine(rank, dialect, eventLoop, address, clock, log, metrics));
    }

    /** Closes all connections, since a new formation may assign ranks to other engines. */
    void closeAll() {
        byRank.values().forEach(RemoteEngine::close);
        byRank.clear();
    }
}
