package org.kingcuproad.gateway;

import java.util.Optional;
import org.kingcuproad.policy.gateway.GatewayConfiguration;
import org.kingcuproad.runtime.log.DecisionLog;

/** The log line at the end of a request: how it ended, where its time went and what the gateway knew. */
final class RequestRecord {

    private RequestRecord() {}

    /**
     * How a request ended.
     *
     * @param status status of the answer, or 0 without a whole one
     * @param outcome what happened
     * @param upstreamId upstream that answered, or empty
     * @param durationMs time since its arrival, in milliseconds
     * @param waiting other requests that wait for the service
     */
    record End(int status, String outcome, String upstreamId, long durationMs, int waiting) {}

    static void write(DecisionLog log, Exchange exchange, End end, Knowledge knowledge) {
        log.event("request finished")
                .field("request", exchange.requestId())
                .field("route", exchange.route().name())
                .field("status", end.status)
                .field("outcome", end.outcome)
                .field("upstream", end.upstreamId)
                .field("sends", exchange.sends())
                .field("problem", Optional.ofNullable(exchange.lastProblem()).orElse(""))
                .field("queuedMs", exchange.queuedMs())
                .field("firstAnswerMs", exchange.firstAnswerMs())
                .field("longestGapMs", exchange.longestGapMs())
                .field("durationMs", end.durationMs)
                .field("timeAllowedMs", exchange.giveUpMs() - exchange.arrivedMs())
                .field("waiting", end.waiting)
                .field(
                        "configuration",
                        knowledge
                                .configuration()
                                .map(GatewayConfiguration::version)
                                .orElse(0L))
                .field("configurationAgeMs", knowledge.ageMs())
                .write();
    }
}
