package org.kingcuproad.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.kingcuproad.policy.gateway.AnnouncedLimit;
import org.kingcuproad.policy.gateway.RetryAfterHeader;

/** Reads what upstreams say in the heads of their responses about the requests that they accept. */
final class UpstreamNotices {

    /** Value of the header by which an upstream says that it is leaving. */
    private static final String LEAVING = "1";

    private final Gateway gateway;

    UpstreamNotices(Gateway gateway) {
        this.gateway = gateway;
    }

    /** Reads the head of a response, also of an error and of a request whose client has left. */
    void read(Upstream upstream, HttpResponse response) {
        HeaderNames names = gateway.names();
        HttpHeaders headers = response.headers();
        long nowMs = gateway.clock().steadyMs();
        gateway.upstreamLimits().onAnnounced(upstream, AnnouncedLimit.parse(headers.get(names.requestLimit())), nowMs);
        if (LEAVING.equals(headers.get(names.leaving(), "").strip()) && upstream.setLeaving()) {
            gateway.metrics().count("upstreams_leaving");
            gateway.log()
                    .event("upstream leaving")
                    .field("upstream", upstream.entry().id())
                    .write();
        }
        if (response.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            if (headers.contains(names.notExecuted()) && !headers.contains(HttpHeaderNames.RETRY_AFTER)) {
                gateway.engineGroups().onRejected(upstream.entry().host(), nowMs);
            }
            RetryAfterHeader.parse(
                            headers.get(HttpHeaderNames.RETRY_AFTER),
                            gateway.clock().wallMs())
                    .ifPresent(delayMs -> backOff(upstream, delayMs, nowMs));
        }
    }

    private void backOff(Upstream upstream, long delayMs, long nowMs) {
        if (upstream.backOff(delayMs, nowMs)) {
            gateway.metrics().count("upstream_back_offs");
            gateway.log()
                    .event("upstream backing off")
                    .field("upstream", upstream.entry().id())
                    .field("forMs", delayMs)
                    .write();
        }
    }
}
