package org.kingcuproad.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.kingcuproad.policy.gateway.SharedRequestLimit;
import org.kingcuproad.runtime.log.DecisionLog;

/**
 * Keeps the request limits that upstreams announce together with the other gateways.
 *
 * <p>A request to a limited upstream is reported at once and again shortly after, because datagrams may be lost; the
 * state of all limited upstreams is reported at longer intervals, also for gateways that have just started.
 */
final class UpstreamLimits {

    /** Interval of reports about upstreams that have got a request lately. */
    private static final long REPORT_INTERVAL_MS = 50;

    /** Time for which a request is reported repeatedly. */
    private static final long REPEAT_MS = 150;

    /** Interval of reports about all limited upstreams. */
    private static final long FULL_REPORT_INTERVAL_MS = 1_000;

    /** Time for which the end of a limit is reported; gateways without responses of their own learn of it that way. */
    private static final long END_REPORT_MS = 5_000;

    private final String gatewayName;
    private final Supplier<Collection<Upstream>> upstreams;
    private final Consumer<LimitReport> broadcast;
    private final DecisionLog log;
    private final Set<Upstream> unreported = new HashSet<>();
    private long nextReportMs;
    private long nextFullReportMs;

    /**
     * Creates the limits of a gateway.
     *
     * @param gatewayName name of the gateway
     * @param upstreams the upstreams of all services
     * @param broadcast sends a report to all other gateways
     * @param log log of the process
     */
    UpstreamLimits(
            String gatewayName,
            Supplier<Collection<Upstream>> upstreams,
            Consumer<LimitReport> broadcast,
            DecisionLog log) {
        this.gatewayName = gatewayName;
        this.upstreams = upstreams;
        this.broadcast = broadcast;
        this.log = log;
    }

    /** Records the limit that a response of an upstream states, or that it states none. */
    void onAnnounced(Upstream upstream, OptionalDouble perSecond, long nowMs) {
        if (upstream.requestLimit().onAnnounced(perSecond, nowMs, nowMs)) {
            logChange(upstream, gatewayName);
            nextFullReportMs = nowMs;
        }
    }

    private void logChange(Upstream upstream, String source) {
        SharedRequestLimit limit = upstream.requestLimit();
        log.event("upstream limit changed")
                .field("upstream", upstream.entry().id())
                .field(
                        "perSecond",
                        limit.perSecond().isPresent()
                                ? String.valueOf(limit.perSecond().getAsDouble())
                                : "none")
                .field("learnedFrom", source)
                .field("sentBefore", limit.ownSends())
                .field("inFlight", upstream.inFlight())
                .write();
    }

    /** Records a request to an upstream. */
    void onSend(Upstream upstream, long nowMs) {
        upstream.requestLimit().onSend();
        upstream.setLastSendMs(nowMs);
        if (upstream.requestLimit().perSecond().isPresent()) {
            unreported.add(upstream);
        }
    }

    /** Takes over what another gateway reports. */
    void onReport(LimitReport report, long nowMs) {
        Collection<Upstream> known = upstreams.get();
        report.entries()
                .forEach(entry -> known.stream()
                        .filter(upstream -> upstream.entry().id().equals(entry.upstreamId())
                                && upstream.entry().startedMs() == entry.startedMs())
                        .forEach(upstream -> onEntry(upstream, report.sender(), entry, nowMs)));
    }

    private void onEntry(Upstream upstream, String sender, LimitReport.Entry entry, long nowMs) {
        SharedRequestLimit limit = upstream.requestLimit();
        limit.onPeerSends(sender, entry.sends());
        if (limit.onAnnounced(entry.perSecond(), nowMs - entry.ageMs(), nowMs)) {
            logChange(upstream, sender);
        }
    }

    /** Reports what is due. Called after requests were sent, and regularly. */
    void report(long nowMs) {
        if (nowMs >= nextFullReportMs) {
            nextFullReportMs = nowMs + FULL_REPORT_INTERVAL_MS;
            nextReportMs = nowMs + REPORT_INTERVAL_MS;
            send(
                    upstreams.get().stream()
                            .filter(upstream -> concernsPeers(upstream, nowMs))
                            .toList(),
                    nowMs);
        } else if (nowMs >= nextReportMs) {
            nextReportMs = nowMs + REPORT_INTERVAL_MS;
            send(
                    upstreams.get().stream()
                            .filter(upstream ->
                                    upstream.requestLimit().perSecond().isPresent())
                            .filter(upstream -> nowMs - upstream.lastSendMs() <= REPEAT_MS)
                            .toList(),
                    nowMs);
        } else if (!unreported.isEmpty()) {
            send(new ArrayList<>(unreported), nowMs);
        }
    }

    private static boolean concernsPeers(Upstream upstream, long nowMs) {
        SharedRequestLimit limit = upstream.requestLimit();
        return limit.perSecond().isPresent() || (limit.everLimited() && nowMs - limit.observedMs() <= END_REPORT_MS);
    }

    private void send(List<Upstream> reported, long nowMs) {
        unreported.clear();
        for (int from = 0; from < reported.size(); from += LimitReportCodec.MAX_ENTRIES) {
            broadcast.accept(new LimitReport(
                    gatewayName,
                    reported.subList(from, Math.min(reported.size(), from + LimitReportCodec.MAX_ENTRIES)).stream()
                            .map(upstream -> entry(upstream, nowMs))
                            .toList()));
        }
    }

    private static LimitReport.Entry entry(Upstream upstream, long nowMs) {
        SharedRequestLimit limit = upstream.requestLimit();
        return new LimitReport.Entry(
                upstream.entry().id(),
                upstream.entry().startedMs(),
                limit.perSecond(),
                Math.min(Integer.MAX_VALUE, Math.max(0, nowMs - limit.observedMs())),
                limit.ownSends());
    }
}
