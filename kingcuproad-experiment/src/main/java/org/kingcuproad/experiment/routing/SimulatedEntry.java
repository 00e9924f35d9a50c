package org.kingcuproad.experiment.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.kingcuproad.policy.admission.AdmissionDecision;
import org.kingcuproad.policy.admission.AdmissionRequest;
import org.kingcuproad.policy.admission.FairAdmissionQueue;
import org.kingcuproad.policy.admission.LatencyQuantile;
import org.kingcuproad.policy.admission.PollResult;
import org.kingcuproad.policy.admission.QueuedRequest;
import org.kingcuproad.policy.admission.RetryBudget;
import org.kingcuproad.policy.admission.WorkspaceShare;
import org.kingcuproad.policy.routing.LoadReport;
import org.kingcuproad.policy.routing.NoChoiceReason;
import org.kingcuproad.policy.routing.Outcome;
import org.kingcuproad.policy.routing.RoutingDecision;
import org.kingcuproad.policy.routing.UpstreamRouter;

/** One entry: it calls the decision code in the way that the entry process does. */
final class SimulatedEntry {

    /** Target for extra attempts (design page, 1.8). */
    private static final double RETRY_BUDGET_RATIO = 0.1;

    private static final int MAX_SAVED_ATTEMPTS = 10;

    /** Attempts beyond the first that a baseline makes without a budget. */
    private static final int BASELINE_RETRIES = 2;

    private static final int MAX_QUEUED = 1_000;
    private static final double MIN_FIRST_TOKEN_MS = 50;
    private static final long CLIENT_MICROS = 1_000;
    private static final long SAME_DATA_CENTRE_MICROS = 100;
    private static final long OTHER_DATA_CENTRE_MICROS = 500;

    private final ExperimentPolicy policy;
    private final String dataCentre;
    private final UpstreamRouter router;
    private final Map<String, SimulatedUpstream> upstreams;
    private final VirtualTime time;
    private final Measures measures;
    private final FairAdmissionQueue<Call> admission = new FairAdmissionQueue<>(MAX_QUEUED);
    private final RetryBudget budget = new RetryBudget(RETRY_BUDGET_RATIO, MAX_SAVED_ATTEMPTS);
    private final LatencyQuantile firstTokenMs = new LatencyQuantile(MIN_FIRST_TOKEN_MS);

    SimulatedEntry(
            ExperimentPolicy policy,
            String dataCentre,
            long seed,
            Map<String, SimulatedUpstream> upstreams,
            VirtualTime time,
            Measures measures) {
        this.policy = policy;
        this.dataCentre = dataCentre;
        this.router = policy.createRouter(dataCentre, seed);
        this.upstreams = upstreams;
        this.time = time;
        this.measures = measures;
        router.update(
                upstreams.values().stream().map(SimulatedUpstream::description).toList(), time.nowMs());
        List<WorkspaceShare> shares = new ArrayList<>();
        for (int workspace = 0; workspace < Workload.WORKSPACES; workspace++) {
            shares.add(new WorkspaceShare(workspaceName(workspace), 1, Integer.MAX_VALUE, MAX_QUEUED));
        }
        admission.update(shares);
    }

    static String workspaceName(int workspace) {
        return "workspace-" + workspace;
    }

    void onReport(String upstream, LoadReport report) {
        router.onReport(upstream, report, time.nowMs());
        drain();
    }

    void onLinkLost(String upstream) {
        router.onFailure(upstream, time.nowMs());
    }

    void onArrival(Prompt prompt) {
        Call call = new Call(prompt, time.nowMicros());
        measures.onRequest(call.arrivalMicros());
        time.after(CLIENT_MICROS, () -> accept(call));
    }

    private void accept(Call call) {
        budget.onRequest();
        if (!policy.hasAdmission()) {
            attempt(call, router.choose(call.features(), time.nowMs()));
            return;
        }
        long nowMs = time.nowMs();
        double expectedMs = firstTokenMs.valueMs(nowMs);
        AdmissionRequest features =
                new AdmissionRequest(call.workspace(), 1, Measures.FIRST_TOKEN_OBJECTIVE_MS, expectedMs);
        switch (admission.offer(call, features, nowMs)) {
            case AdmissionDecision.Queued<Call> queued -> drain();
            case AdmissionDecision.Refused<Call> refused -> measures.onRefused(call.arrivalMicros(), call.small());
        }
    }

    private void drain() {
        boolean more = policy.hasAdmission();
        while (more) {
            more = switch (admission.poll(time.nowMs(), router.utilisation(Simulation.GROUP))) {
                case PollResult.Empty<Call> empty -> false;
                case PollResult.Expired<Call> late -> {
                    Call call = late.queuedRequest().request();
                    measures.onRefused(call.arrivalMicros(), call.small());
                    yield true;
                }
                case PollResult.Ready<Call> ready -> tryDispatch(ready.queuedRequest());
            };
        }
    }

    private boolean tryDispatch(QueuedRequest<Call> ticket) {
        Call call = ticket.request();
        call.setUrgent(ticket.withinShare());
        RoutingDecision decision = router.choose(call.features(), time.nowMs());
        if (decision instanceof RoutingDecision.None none) {
            if (none.reason() == NoChoiceReason.SATURATED) {
                return false;
            }
            admission.cancel(ticket);
            measures.onRefused(call.arrivalMicros(), call.small());
            return true;
        }
        admission.onDispatched(ticket, time.nowMs());
        attempt(call, decision);
        return true;
    }

    private void attempt(Call call, RoutingDecision decision) {
        switch (decision) {
            case RoutingDecision.None none -> fail(call);
            case RoutingDecision.Chosen chosen -> send(call, chosen.upstream());
        }
    }

    private void send(Call call, String name) {
        SimulatedUpstream upstream = upstreams.get(name);
        if (upstream == null) {
            throw new IllegalStateException("the router chose " + name + ", which is not in the set");
        }
        router.onDispatched(name, call.prompt().prefix(), time.nowMs());
        boolean near = upstream.description().dataCentre().equals(dataCentre);
        long hopMicros = SAME_DATA_CENTRE_MICROS + (near ? 0 : OTHER_DATA_CENTRE_MICROS);
        Dispatch dispatch = new Dispatch(call, name, time.nowMicros(), hopMicros);
        time.after(hopMicros, () -> upstream.submit(new Attempt(call.prompt(), call.urgent(), dispatch)));
    }

    private void retry(Call call) {
        boolean allowed = policy.hasAdmission() ? budget.tryExtraAttempt() : call.failures() <= BASELINE_RETRIES;
        if (call.answered() || !allowed) {
            fail(call);
            return;
        }
        RoutingDecision decision = router.choose(call.features(), time.nowMs());
        if (decision instanceof RoutingDecision.Chosen) {
            measures.onExtraAttempt(call.arrivalMicros());
        }
        attempt(call, decision);
    }

    private void fail(Call call) {
        measures.onFailed(call.arrivalMicros(), call.small(), call.answered());
        admission.onFinished(call.workspace());
        drain();
    }

    /** One attempt as the entry sees it. */
    private final class Dispatch implements Attempt.Listener {

        private final Call call;
        private final String upstream;
        private final long sentMicros;
        private final long hopMicros;

        Dispatch(Call call, String upstream, long sentMicros, long hopMicros) {
            this.call = call;
            this.upstream = upstream;
            this.sentMicros = sentMicros;
            this.hopMicros = hopMicros;
        }

        @Override
        public void onFirstToken(Attempt attempt) {
            time.after(hopMicros, () -> {
                double latencyMs = latencyMs();
                firstTokenMs.add(latencyMs, time.nowMs());
                router.onFirstToken(upstream, latencyMs, time.nowMs());
                call.setFirstTokenMicros(time.nowMicros() + CLIENT_MICROS);
                measures.onFirstToken(call.arrivalMicros(), call.firstTokenMicros(), call.small());
            });
        }

        @Override
        public void onCompleted(Attempt attempt) {
            time.after(hopMicros, () -> {
                router.onFinished(upstream, Outcome.SUCCEEDED, latencyMs(), time.nowMs());
                admission.onFinished(call.workspace());
                double answerMs = (time.nowMicros() + CLIENT_MICROS - call.firstTokenMicros()) / 1e3;
                double gapMs = answerMs / Math.max(1, call.prompt().outputTokens() - 1);
                measures.onCompleted(
                        call.arrivalMicros(), (call.firstTokenMicros() - call.arrivalMicros()) / 1e3, gapMs);
                drain();
            });
        }

        @Override
        public void onFailed(Attempt attempt) {
            router.onFinished(upstream, Outcome.STALLED, latencyMs(), time.nowMs());
            call.addFailed(upstream);
            retry(call);
        }

        private double latencyMs() {
            return (time.nowMicros() - sentMicros) / 1e3;
        }
    }
}
