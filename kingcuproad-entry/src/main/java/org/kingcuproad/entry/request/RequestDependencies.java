package org.kingcuproad.entry.request;

import com.codahale.metrics.MetricRegistry;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.kingcuproad.entry.link.AgentLinks;
import org.kingcuproad.runtime.trace.Tracing;

/**
 * Dependencies that all requests of an entry share.
 *
 * @param links connections to the agents
 * @param selector chooses upstreams
 * @param queues admission queues
 * @param retryBudget withdraws an extra attempt from the retry budget; {@code false} if the budget is exhausted
 * @param tracing starts spans
 * @param metrics metrics of the entry
 * @param clockNs monotonic clock, in nanoseconds
 * @param onEnd called once when a request ends
 */
record RequestDependencies(
        AgentLinks links,
        UpstreamSelector selector,
        AdmissionQueues queues,
        BooleanSupplier retryBudget,
        Tracing tracing,
        MetricRegistry metrics,
        LongSupplier clockNs,
        Consumer<RequestTask> onEnd) {}
