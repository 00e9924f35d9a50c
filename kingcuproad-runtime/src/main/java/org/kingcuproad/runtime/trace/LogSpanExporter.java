package org.kingcuproad.runtime.trace;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.kingcuproad.runtime.log.StructuredLog;

/** Writes each finished span as one log line. */
final class LogSpanExporter implements SpanExporter {

    private static final long NANOS_PER_MICRO = 1_000;

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        spans.forEach(LogSpanExporter::log);
        return CompletableResultCode.ofSuccess();
    }

    private static void log(SpanData span) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("traceId", span.getTraceId());
        fields.put("spanId", span.getSpanId());
        fields.put("parentSpanId", span.getParentSpanId());
        fields.put("span", span.getName());
        fields.put("durationUs", (span.getEndEpochNanos() - span.getStartEpochNanos()) / NANOS_PER_MICRO);
        span.getAttributes().forEach((key, value) -> fields.put(key.getKey(), value));
        StructuredLog.info("span", fields);
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }
}
