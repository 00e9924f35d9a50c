package org.kingcuproad.agent;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;
import org.kingcuproad.model.ErrorKind;

/** Metrics of an agent. */
final class AgentMetrics {

    private final MetricRegistry registry = new MetricRegistry();
    private final Counter accepted = registry.counter("requests.accepted");
    private final Counter resumed = registry.counter("requests.resumed");
    private final Counter joined = registry.counter("requests.joined");
    private final Counter completed = registry.counter("runs.completed");
    private final Counter abandoned = registry.counter("runs.abandoned");
    private final Counter silentConnections = registry.counter("connections.silent");
    private final Timer runTime = registry.timer("runs.time");

    MetricRegistry registry() {
        return registry;
    }

    <T> void gauge(String name, Gauge<T> gauge) {
        registry.register(name, gauge);
    }

    void accepted() {
        accepted.inc();
    }

    void resumed() {
        resumed.inc();
    }

    void joined() {
        joined.inc();
    }

    void completed(long runMs) {
        completed.inc();
        runTime.update(runMs, TimeUnit.MILLISECONDS);
    }

    void failed(ErrorKind kind) {
        registry.counter("runs.failed." + kind.label()).inc();
    }

    void refused(ErrorKind kind) {
        registry.counter("requests.refused." + kind.label()).inc();
    }

    void abandoned() {
        abandoned.inc();
    }

    void silentConnection() {
        silentConnections.inc();
    }
}
