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

/** The requests in progress at an entry. Owned by the event loop of the entry. */
public final class RequestTasks {

    private static final int TICK_MS = 100;
    private static final int MAX_SAVED_ATTEMPTS = 100;

    private final RequestEnvironment environment;
    private final Set<RequestTask> active = new LinkedHashSet<>();
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
    public RequestTasks(
            EventLoop eventLoop,
            AgentLinks links,
            UpstreamSelector selector,
            Tracing tracing,
            MetricRegistry metrics,
            LongSupplier clockNs) {
        this.queues = new AdmissionQueues(selector);
        this.environment = new RequestEnvironment(
                links, selector, queues, this::tryExtraAttempt, tracing, metrics, clockNs, this::ended);
        eventLoop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts a request.
     *
     * @param context the admitted request
     */
    public void start(RequestContext context) {
        RequestTask task = new RequestTask(context, environment);
        active.add(task);
        retryBudget.onRequest();
        task.start();
    }

    /**
     * Takes the workspaces and limits of a document.
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
     * Makes an idempotency key that is bound to one incarnation of one agent, which needs no store call.
     *
     * @param target what the order will ask for
     * @param workspace workspace of the caller
     * @param random distinguishes the key from all others
     * @return the key, or empty if no agent can take an order now
     */
    public Optional<BoundKey> bindKey(Target target, String workspace, long random) {
        long nowNs = environment.clockNs().getAsLong();
        Selection selection = environment.selector().select(target, workspace, "", Set.of(), nowNs);
        if (!(selection instanceof Selection.Selected selected)) {
            return Optional.empty();
        }
        return environment
                .links()
                .connected(selected.upstream())
                .flatMap(AgentLink::incarnation)
                .map(incarnation -> new BoundKey(selected.upstream(), incarnation, random));
    }

    /**
     * Counts all requests.
     *
     * @return the requests in progress
     */
    public int active() {
        return active.size();
    }

    private void tick() {
        long nowNs = environment.clockNs().getAsLong();
        List.copyOf(active).forEach(task -> task.tick(nowNs));
        queues.pumpAll(nowNs);
    }

    private boolean tryExtraAttempt() {
        return retryBudget.tryExtraAttempt();
    }

    private void ended(RequestTask task) {
        if (active.remove(task)) {
            queues.ended(task, environment.clockNs().getAsLong());
        }
    }
}
