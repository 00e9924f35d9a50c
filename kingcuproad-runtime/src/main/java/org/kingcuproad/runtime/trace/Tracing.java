package org.kingcuproad.runtime.trace;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Starts the spans of one process and carries the trace from hop to hop in the W3C {@code traceparent} header. */
public final class Tracing {

    /** Name of the header that carries the trace. */
    public static final String TRACEPARENT = "traceparent";

    private static final TextMapGetter<String> HEADER_VALUE = new TextMapGetter<>() {
        @Override
        public Iterable<String> keys(String carrier) {
            return List.of(TRACEPARENT);
        }

        @Override
        public @Nullable String get(@Nullable String carrier, String key) {
            return TRACEPARENT.equals(key) ? carrier : null;
        }
    };

    private final Tracer tracer;

    private Tracing(Tracer tracer) {
        this.tracer = tracer;
    }

    /**
     * Creates the tracing of a process, which writes finished spans to the log.
     *
     * @param process name of the process
     * @param sampleRatio ratio of traces begun here that are recorded, from 0 to 1; a trace begun elsewhere follows the
     *     decision in its header
     * @return the tracing
     */
    public static Tracing toLog(String process, double sampleRatio) {
        SdkTracerProvider provider = SdkTracerProvider.builder()
                .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(sampleRatio)))
                .addSpanProcessor(SimpleSpanProcessor.create(new LogSpanExporter()))
                .build();
        return new Tracing(provider.get(process));
    }

    /**
     * Starts a span for one hop.
     *
     * @param name name of the span
     * @param kind side of the hop
     * @param traceparent header of the preceding hop, or an empty string to begin a trace
     * @return the span, which the caller ends
     */
    public Span start(String name, SpanKind kind, String traceparent) {
        Context parent = W3CTraceContextPropagator.getInstance().extract(Context.root(), traceparent, HEADER_VALUE);
        return tracer.spanBuilder(name).setSpanKind(kind).setParent(parent).startSpan();
    }

    /**
     * Starts a span below another one of this process.
     *
     * @param name name of the span
     * @param kind side of the hop
     * @param parent the span that caused this one
     * @return the span, which the caller ends
     */
    public Span startChild(String name, SpanKind kind, Span parent) {
        return tracer.spanBuilder(name)
                .setSpanKind(kind)
                .setParent(Context.root().with(parent))
                .startSpan();
    }

    /**
     * Returns the header for the next hop.
     *
     * @param span the span that causes the next hop
     * @return the value of the {@code traceparent} header, empty if the span is not valid
     */
    public static String traceparent(Span span) {
        Map<String, String> headers = new HashMap<>();
        W3CTraceContextPropagator.getInstance().inject(Context.root().with(span), headers, (carrier, key, value) -> {
            if (carrier != null) {
                carrier.put(key, value);
            }
        });
        return headers.getOrDefault(TRACEPARENT, "");
    }
}
