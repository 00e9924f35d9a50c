package org.kingcuproad.gateway.rank;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import org.kingcuproad.gateway.Clock;
import org.kingcuproad.gateway.ProcessMetrics;
import org.kingcuproad.runtime.log.DecisionLog;

/** The proxies through which an agent acts at the engines of other ranks of the present formation. */
final class RankProxies {

    private final EngineDialect dialect;
    private final EventLoop eventLoop;
    private final Clock clock;
    private final DecisionLog log;
    private final ProcessMetrics metrics;
    private final Map<Integer, RankProxy> byRank = new HashMap<>();

    RankProxies(EngineDialect dialect, EventLoop eventLoop, Clock clock, DecisionLog log, ProcessMetrics metrics) {
        this.dialect = dialect;
        this.eventLoop = eventLoop;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /** Returns the proxy of a rank. */
    RankProxy of(int rank, InetSocketAddress engine) {
        return byRank.computeIfAbsent(
                rank, unused -> new RankProxy(rank, dialect, eventLoop, engine, clock, log, metrics));
    }

    /** Closes all proxies, since the ranks may have moved. */
    void forget() {
        byRank.values().forEach(RankProxy::close);
        byRank.clear();
    }
}
