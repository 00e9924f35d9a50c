package org.kingcuproad.gateway;

import io.netty.handler.codec.http.HttpResponse;
import org.kingcuproad.policy.gateway.ResponseFraming;
import org.kingcuproad.runtime.log.DecisionLog;

/** Logs and counts which responses of upstreams were taken for complete, and why, and which were passed over. */
final class ResponseLog {

    private final DecisionLog log;
    private final ProcessMetrics metrics;
    private final HeaderNames names;

    ResponseLog(DecisionLog log, ProcessMetrics metrics, HeaderNames names) {
        this.log = log;
        this.metrics = metrics;
        this.names = names;
    }

    /** Records a second response to an earlier request, which was passed over. */
    void onSkipped(Attempt attempt, String responseId, HttpResponse response) {
        metrics.count("responses_skipped");
        log.event("skipped response to another request")
                .field("request", attempt.requestId())
                .field("upstream", attempt.upstream().entry().id())
                .field("answerTo", responseId)
                .field("status", response.status().code())
                .field("seal", response.headers().get(names.seal(), ""))
                .write();
    }

    /** Records a complete response, with a line of its own if it doesn't say itself where it ends. */
    void onComplete(Attempt attempt, String evidence) {
        ResponseSummary response = attempt.summary();
        metrics.count("responses_complete_" + response.framing());
        if (response.framing().equals(ResponseFraming.CONNECTION.toString())) {
            log.event("response ended with its connection")
                    .field("request", attempt.requestId())
                    .field("upstream", attempt.upstream().entry().id())
                    .field("evidence", evidence)
                    .field("status", response.status())
                    .field("seal", response.seal())
                    .field("events", response.events())
                    .field("bytes", response.bytes())
                    .write();
        }
    }

    /** Records a stream that was taken for complete although nobody confirmed its end. */
    void onUnconfirmed(Exchange exchange, UnstatedEnd end, String reason) {
        metrics.count("streams_complete_unconfirmed");
        log.event("stream ended unconfirmed")
                .field("request", exchange.requestId())
                .field("upstream", end.upstream().entry().id())
                .field("reason", reason)
                .field("events", exchange.forwarded().events())
                .field("bytes", exchange.forwarded().bytes())
                .write();
    }
}
