package org.kingcuproad.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.kingcuproad.policy.gateway.EndConfirmations;

/** Tells the other gateways regularly what this one has seen of ends of streams that nothing stated. */
final class EndReports {

    /** A gateway that has just started learns within this time what the others know. */
    private static final long INTERVAL_MS = 250;

    private final String name;
    private final Map<String, ServiceDispatcher> dispatchers;
    private final Consumer<EndReport> sender;
    private long reportedMs = Long.MIN_VALUE / 2;

    EndReports(String name, Map<String, ServiceDispatcher> dispatchers, Consumer<EndReport> sender) {
        this.name = name;
        this.dispatchers = dispatchers;
        this.sender = sender;
    }

    /** Sends a report if one is due and there is anything to tell. */
    void report(long nowMs) {
        if (nowMs - reportedMs < INTERVAL_MS) {
            return;
        }
        reportedMs = nowMs;
        Map<String, EndConfirmations.Report> services = new HashMap<>();
        dispatchers.forEach((service, dispatcher) ->
                dispatcher.unstatedEnds().confirmations().report(nowMs).ifPresent(seen -> services.put(service, seen)));
        if (!services.isEmpty()) {
            sender.accept(new EndReport(name, services));
        }
    }

    /** Records what another gateway has seen. */
    void onReport(EndReport report, long nowMs) {
        report.services().forEach((service, seen) -> {
            ServiceDispatcher dispatcher = dispatchers.get(service);
            if (dispatcher != null) {
                dispatcher.unstatedEnds().confirmations().onReported(report.sender(), seen, nowMs);
            }
        });
    }
}
