package org.kingcuproad.entry.request;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.kingcuproad.entry.link.AgentLink;
import org.kingcuproad.entry.link.AgentLinks;
import org.kingcuproad.model.EnvironmentDocument;
import org.kingcuproad.policy.admission.RetryBudget;
import org.kingcuproad.policy.claim.BoundKey;
import org.kingcuproad.runtime.trace.Tracing;

/** The requests in progress at an entry. Confined to the event loop of the entry. */
public final class ActiveRequests {

    private static final int TICK_MS = 100;
    private static final int MAX_SAVED_ATTEMPTS = 100;

    private final RequestDependencies dependencies;
    private final Set<RequestTask> requests = new LinkedHashSet<>();
    private final AdmissionQueues queues;
    private RetryBudget retryBudget = new RetryBudget(0, 0);
    private double retryBudgetRatio;

    /**
     * Creates an empty set and schedules its periodic checks.
     *
     * @param eventLoop event loop of the entry
     * @param links connections to the agents
     * @param selector chooses upstreams
     * @param tracing starts spans
     * @param metrics metrics of the entry
     * @param clockNs monotonic clock, in nanoseconds
     */
    public ActiveRequests(
            EventLoop eventLoop,
            AgentLinks links,
            UpstreamSelector selector,
            Tracing tracing,
            MetricRegistry metrics,
            LongSupplier clockNs) {
        this.queues = new AdmissionQueues(selector);
        this.dependencies = new RequestDependencies(
                links, selector, queues, this::tryExtraAttempt, tracing, metrics, clockNs, this::onEnded);
        eventLoop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts a request.
     *
     * @param context the admitted request
     */
    public void start(RequestContext context) {
        RequestTask task = new RequestTask(context, dependencies);
        requests.add(task);
        retryBudget.onRequest();
        task.start();
    }

    /**
     * Updates the workspaces and limits from a document.
     *
     * @param document the document in force
     */
    public void update(EnvironmentDocument document) {
        queues.update(document);
        double ratio = document.limits().retryBudgetRatio();
        if (ratio != retryBudgetRatio) {
            retryBudgetRatio = ratio;
            retryBudget = new RetryBudget(ratio, MAX_SAVED_ATTEMPTS);
        }
    }

    /**
     * Creates an idempotency key that is bound to one agent incarnation, so that its request needs no store call.
     *
     * @param target service that the request will be for
     * @param workspace workspace of the caller
     * @param random random part, which makes the key unique
     * @return the key, or empty if no agent can accept a request now
     */
    public Optional<BoundKey> createBoundKey(Target target, String workspace, long random) {
        long nowNs = dependencies.clockNs().getAsLong();
        Selection selection = dependencies.selector().select(target, workspace, "", Set.of(), nowNs);
        if (!(selection instanceof Selection.Selected selected)) {
            return Optional.empty();
        }
        return dependencies
                .links()
                .connected(selected.upstream())
                .flatMap(AgentLink::incarnation)
                .map(incarnation -> new BoundKey(selected.upstream(), incarnation, random));
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return number of queued and running requests
     */
    public int count() {
        return requests.size();
    }

    private void tick() {
        long nowNs = dependencies.clockNs().getAsLong();
        List.copyOf(requests).forEach(task -> task.tick(nowNs));
        queues.dispatchAllReady(nowNs);
    }

    private boolean tryExtraAttempt() {
        return retryBudget.tryExtraAttempt();
    }

    private void onEnded(RequestTask task) {
        if (requests.remove(task)) {
            queues.onEnded(task, dependencies.clockNs().getAsLong());
        }
    }
}
