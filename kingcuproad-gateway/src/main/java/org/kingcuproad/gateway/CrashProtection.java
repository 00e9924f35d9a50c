package org.kingcuproad.gateway;

import java.util.List;
import java.util.OptionalLong;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.policy.quarantine.UpstreamCrash;

/** Detects crashes of a service's upstreams, and ends requests with prompts that crash upstreams. */
final class CrashProtection implements UpstreamCrashDetector.Listener {

    private static final String DETAIL = "upstreams crashed while they answered requests with parts of this prompt";

    private final Gateway gateway;
    private final Runnable afterCrash;
    private final PromptCrashGuard guard;
    private final UpstreamCrashDetector detector;

    /**
     * Creates the protection of a service.
     *
     * @param afterCrash called after each crash, when there may be new quarantines
     */
    CrashProtection(Gateway gateway, String service, Runnable afterCrash) {
        this.gateway = gateway;
        this.afterCrash = afterCrash;
        this.guard = new PromptCrashGuard(service, new CrashGuardEnvironment(gateway));
        this.detector = new UpstreamCrashDetector(gateway::probe, this);
    }

    PromptCrashGuard guard() {
        return guard;
    }

    /** Records that the connection of a request in progress ended without an action of this gateway. */
    void onDisconnected(Upstream upstream, Exchange exchange) {
        // An upstream that is leaving ends as planned, even if it cuts requests.
        if (upstream.inService()) {
            detector.onDisconnected(upstream, exchange.promptParts());
        }
    }

    @Override
    public void onCrash(Upstream upstream, List<List<String>> prompts) {
        gateway.metrics().count("upstream_crashes");
        gateway.engineGroups()
                .onRankCrashed(upstream.entry().host(), gateway.clock().steadyMs());
        gateway.log()
                .event("upstream crashed")
                .field("upstream", upstream.entry().id())
                .field("startedMs", upstream.entry().startedMs())
                .field("lostRequests", prompts.size())
                .field("prompts", prompts.toString())
                .write();
        guard.onCrash(
                new UpstreamCrash.Incarnation(
                        upstream.entry().id(), upstream.entry().startedMs()),
                prompts,
                gateway.clock().steadyMs());
        afterCrash.run();
    }

    /** Finds out whether an upstream still listens whose response ended with its connection. */
    void confirmEnd(Attempt attempt) {
        detector.onEndedWithConnection(attempt.upstream(), attempt.exchange().promptParts(), attempt::onEndProbed);
    }

    /** Records a complete response. */
    void onResponse(Attempt attempt) {
        if (attempt.succeeded() && attempt.endProven()) {
            guard.onAnswered(attempt.exchange().promptParts(), gateway.clock().steadyMs());
        }
    }

    /**
     * Judges and reports what is known of crashes.
     *
     * @return whether there are new quarantines
     */
    boolean sweep(long nowMs) {
        return guard.sweep(nowMs);
    }

    boolean isQuarantined(Exchange exchange, long nowMs) {
        return guard.quarantinedForMs(exchange.promptParts(), nowMs).isPresent();
    }

    /**
     * Ends a request at once if upstreams crash on its prompt.
     *
     * @return whether the request has ended
     */
    boolean endIfQuarantined(Exchange exchange, long nowMs) {
        OptionalLong quarantinedMs = guard.quarantinedForMs(exchange.promptParts(), nowMs);
        if (quarantinedMs.isEmpty()) {
            return false;
        }
        if (exchange.headSent()) {
            gateway.abort(exchange, DETAIL);
        } else if (exchange.mayHaveRun()) {
            gateway.endWithProblem(exchange, ErrorKind.UPSTREAM_LOST, DETAIL, -1);
        } else {
            gateway.endWithProblem(exchange, ErrorKind.PROMPT_QUARANTINED, DETAIL, quarantinedMs.getAsLong());
        }
        return true;
    }
}
