package org.kingcuproad.entry.request;

import io.opentelemetry.api.trace.Span;
import org.kingcuproad.runtime.http.HttpExchange;

/**
 * What is fixed about one request when it is admitted.
 *
 * @param requestId unique id, made by the entry
 * @param workspace name of the workspace
 * @param target what the request asks for
 * @param idempotencyKey key of the caller, or an empty string
 * @param exchange the request and the means to answer it
 * @param deadlineNs when the response must be complete, on the entry's monotonic clock
 * @param startedNs when the request arrived, on the same clock
 * @param revision revision of the environment document that it was admitted under
 * @param span span of the request
 */
public record RequestContext(
        String requestId,
        String workspace,
        Target target,
        String idempotencyKey,
        HttpExchange exchange,
        long deadlineNs,
        long startedNs,
        long revision,
        Span span) {}
