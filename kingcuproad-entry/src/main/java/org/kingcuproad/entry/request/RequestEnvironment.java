package org.kingcuproad.entry.request;

import com.codahale.metrics.MetricRegistry;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.kingcuproad.entry.link.AgentLinks;
import org.kingcuproad.runtime.trace.Tracing;

/**
 * What all requests of an entry share.
 *
 * @param links connections to the agents
 * @param selector chooses upstreams
 * @param queues requests that wait for an upstream
 * @param retryBudget takes an extra attempt out of the retry budget; {@code false} if it is used up
 * @param tracing starts spans
 * @param metrics metrics of the entry
 * @param clockNs monotonic clock, in nanoseconds
 * @param onEnd called once when a request ends
 */
record RequestEnvironment(
        AgentLinks links,
        UpstreamSelector selector,
        AdmissionQueues queues,
        BooleanSupplier retryBudget,
        Tracing tracing,
        MetricRegistry metrics,
        LongSupplier clockNs,
        Consumer<RequestTask> onEnd) {}
