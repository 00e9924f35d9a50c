package org.kingcuproad.entry.request;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.kingcuproad.entry.link.AgentLinks;
import org.kingcuproad.runtime.trace.Tracing;

/** The requests in progress at an entry. Owned by the event loop of the entry. */
public final class RequestTasks {

    private static final int TICK_MS = 100;

    private final RequestEnvironment environment;
    private final Set<RequestTask> active = new LinkedHashSet<>();
    private final Map<String, Integer> activeByWorkspace = new HashMap<>();

    /**
     * Creates an empty set and schedules its periodic checks.
     *
     * @param eventLoop event loop of the entry
     * @param links connections to the agents
     * @param selector chooses upstreams
     * @param retryBudget takes a unit of the retry budget; {@code false} if it is used up
     * @param tracing starts spans
     * @param metrics metrics of the entry
     * @param clockNs monotonic clock, in nanoseconds
     */
    public RequestTasks(
            EventLoop eventLoop,
            AgentLinks links,
            UpstreamSelector selector,
            BooleanSupplier retryBudget,
            Tracing tracing,
            MetricRegistry metrics,
            LongSupplier clockNs) {
        this.environment = new RequestEnvironment(links, selector, retryBudget, tracing, metrics, clockNs, this::ended);
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
        activeByWorkspace.merge(context.workspace(), 1, Integer::sum);
        task.start();
    }

    /**
     * Counts the requests of a workspace.
     *
     * @param workspace name of the workspace
     * @return its requests in progress
     */
    public int activeOf(String workspace) {
        return activeByWorkspace.getOrDefault(workspace, 0);
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
    }

    private void ended(RequestTask task) {
        if (active.remove(task)) {
            activeByWorkspace.computeIfPresent(
                    task.context().workspace(), (name, count) -> count > 1 ? count - 1 : null);
        }
    }
}
