package org.kingcuproad.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.policy.gateway.RequestQueue;
import org.kingcuproad.policy.gateway.ServiceStatistics;
import org.kingcuproad.policy.scarcity.PriorityDifferences;
import org.kingcuproad.policy.scarcity.RequestTraits;
import org.kingcuproad.policy.scarcity.ScarcityScheduler;

/** Applies the decisions on scarce capacity to one service; they have no effect while all priorities are the same. */
final class ScarceCapacity {

    private final Gateway gateway;
    private final RequestQueue<Exchange> queue;
    private final ScarcityScheduler<Exchange> scheduler = new ScarcityScheduler<>(Exchange::scarceRequest);
    private boolean active;

    ScarceCapacity(Gateway gateway, RequestQueue<Exchange> queue) {
        this.gateway = gateway;
        this.queue = queue;
    }

    /** Returns whether requests of the service differ in priority. */
    boolean active() {
        return active;
    }

    void configure(String service, GatewayConfiguration configuration) {
        boolean differ = PriorityDifferences.exist(configuration, service);
        if (differ != active) {
            active = differ;
            queue.setOrder(active ? Optional.of(scheduler::startOrder) : Optional.empty());
            gateway.log()
                    .event("order of queued requests changed")
                    .field("service", service)
                    .field("prioritiesDiffer", active)
                    .write();
        }
    }

    /** Adds a new request to the queue. */
    void enqueue(Exchange exchange, long nowMs) {
        if (active) {
            double workTokens = exchange.promptTokens() + exchange.outputTokens();
            String kind = exchange.route().name();
            boolean large = scheduler.onArrival(kind, workTokens, exchange.priority(), nowMs);
            String workspace = Optional.ofNullable(exchange.workspace()).orElse("");
            exchange.setTraits(new RequestTraits(kind, workspace, workTokens, large));
        }
        queue.add(exchange);
    }

    /** Records that a request is sent to an upstream. */
    void onSend(Exchange exchange, long nowMs) {
        onDecided(exchange, true, nowMs);
    }

    /** Records that a request was refused, or that its client left, before it was sent. */
    void onNotServed(Exchange exchange, long nowMs) {
        onDecided(exchange, false, nowMs);
    }

    private void onDecided(Exchange exchange, boolean served, long nowMs) {
        RequestTraits traits = exchange.scarceRequest().traits();
        if (active && !exchange.tried() && traits != RequestTraits.NONE) {
            scheduler.onDecided(traits, served, nowMs);
        }
    }

    /** Returns the queued requests that are expected to start too late. */
    List<ScarcityScheduler.Refusal<Exchange>> overdue(
            ServiceStatistics statistics, OptionalDouble acceptedPerSecond, long nowMs) {
        return scheduler.overdue(queue, statistics, acceptedPerSecond, nowMs);
    }
}
