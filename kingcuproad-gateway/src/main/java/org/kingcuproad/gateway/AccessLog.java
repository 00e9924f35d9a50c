package org.kingcuproad.gateway;

import java.util.Optional;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.runtime.log.DecisionLog;

/**
 * Writes the access log: one line at the end of each request, with its outcome, where its time was spent and the
 * configuration that the gateway had.
 */
final class AccessLog {

    private AccessLog() {}

    /**
     * How a request ended.
     *
     * @param status status of the response, or 0 if no complete one was sent
     * @param outcome description of the outcome
     * @param upstreamId id of the upstream that responded, or empty
     * @param durationMs time since the request arrived, in milliseconds
     * @param waiting number of other requests queued for the service
     * @param stopping whether the gateway was shutting down
     */
    record Summary(int status, String outcome, String upstreamId, long durationMs, int waiting, boolean stopping) {}

    static void write(DecisionLog log, Exchange exchange, Summary summary, StoreView storeView) {
        // A flood of refusals would leave out the lines of the few requests that succeed beside it.
        log.event("request finished", String.valueOf(summary.status))
                .field("request", exchange.requestId())
                .field("route", exchange.route().name())
                .field("status", summary.status)
                .field("outcome", summary.outcome)
                .field("upstream", summary.upstreamId)
                .field("sends", exchange.sends())
                .field("problem", Optional.ofNullable(exchange.lastFailure()).orElse(""))
                .field("queuedMs", exchange.queuedMs())
                .field("firstAnswerMs", exchange.firstResponseMs())
                .field("longestGapMs", exchange.longestGapMs())
                .field("durationMs", summary.durationMs)
                .field("timeAllowedMs", exchange.deadlineMs() - exchange.arrivedMs())
                .field("waiting", summary.waiting)
                .field("seal", exchange.forwarded().seal())
                .field("end", exchange.forwarded().completion())
                .field("events", exchange.forwarded().events())
                .field("bytes", exchange.forwarded().bytes())
                .field("stopping", summary.stopping)
                .field(
                        "configuration",
                        storeView
                                .configuration()
                                .map(GatewayConfiguration::version)
                                .orElse(0L))
                .field("configurationAgeMs", storeView.ageMs())
                .write();
    }
}
