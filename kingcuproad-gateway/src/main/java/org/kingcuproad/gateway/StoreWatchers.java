package org.kingcuproad.gateway;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import org.kingcuproad.gateway.evacuation.EvacuationListener;
import org.kingcuproad.runtime.log.DecisionLog;

/** The watches by which a gateway keeps its view of the store current. */
final class StoreWatchers {

    /**
     * Maximum duration of one watch for configuration changes. The last confirmation that the configuration is current
     * is up to twice as old; readiness and denials need one that is at most some seconds old.
     */
    private static final long CONFIGURATION_WATCH_MS = 1_000;

    /** Maximum duration of one watch for upstream changes; a dead connection is detected half a second later. */
    private static final long UPSTREAMS_WATCH_MS = 1_500;

    /**
     * Fraction of the time within which an evacuation must be in force that one watch may take. A silent connection is
     * replaced half a second after it, and a new listing takes up to one second more.
     */
    private static final double EVACUATION_WATCH_FRACTION = 0.4;

    /** Minimum duration of a watch; a shorter one would call the store all the time. */
    private static final long MIN_WATCH_MS = 500;

    private final List<StoreWatcher<?>> watchers = new ArrayList<>();

    StoreWatchers(
            EventLoop eventLoop,
            Clock clock,
            GatewaySettings settings,
            GatewayDialect dialect,
            StoreView storeView,
            ProcessMetrics metrics,
            DecisionLog log) {
        watchers.add(new StoreWatcher<>(
                dialect.configuration(),
                eventLoop,
                clock,
                settings.storeAddress(),
                storeView.configurationListener(),
                log,
                CONFIGURATION_WATCH_MS));
        watchers.add(new StoreWatcher<>(
                dialect.upstreams(),
                eventLoop,
                clock,
                settings.storeAddress(),
                storeView.upstreamListener(),
                log,
                UPSTREAMS_WATCH_MS));
        settings.evacuationMs()
                .ifPresent(withinMs -> watchers.add(new StoreWatcher<>(
                        dialect.evacuations(),
                        eventLoop,
                        clock,
                        settings.storeAddress(),
                        new EvacuationListener(
                                storeView.evacuations(),
                                storeView::dataCentres,
                                clock,
                                metrics,
                                log,
                                storeView::notifyChange),
                        log,
                        Math.max(MIN_WATCH_MS, Math.round(withinMs * EVACUATION_WATCH_FRACTION)))));
    }

    void start() {
        watchers.forEach(StoreWatcher::start);
    }

    void close() {
        watchers.forEach(StoreWatcher::close);
    }
}
