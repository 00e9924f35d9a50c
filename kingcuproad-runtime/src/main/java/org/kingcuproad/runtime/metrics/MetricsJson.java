package org.kingcuproad.runtime.metrics;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.concurrent.TimeUnit;

/** Renders the metrics of a process as one JSON object. */
public final class MetricsJson {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private MetricsJson() {}

    /**
     * Renders all metrics of a registry.
     *
     * @param registry the metrics of the process
     * @return a JSON object with a member for each metric; times are in milliseconds
     */
    public static String render(MetricRegistry registry) {
        ObjectNode root = MAPPER.createObjectNode();
        registry.getCounters().forEach((name, counter) -> root.put(name, counter.getCount()));
        registry.getMeters().forEach((name, meter) -> root.put(name, meter.getCount()));
        registry.getGauges().forEach((name, gauge) -> root.putPOJO(name, gauge.getValue()));
        registry.getTimers().forEach((name, timer) -> root.set(name, timer(timer)));
        registry.getHistograms().forEach((name, histogram) -> {
            root.set(name, quantiles(histogram.getCount(), histogram.getSnapshot(), 1));
        });
        return root.toString();
    }

    private static ObjectNode timer(Timer timer) {
        return quantiles(timer.getCount(), timer.getSnapshot(), NANOS_PER_MILLI);
    }

    private static ObjectNode quantiles(long count, Snapshot snapshot, double unit) {
        return MAPPER.createObjectNode()
                .put("count", count)
                .put("p50", snapshot.getMedian() / unit)
                .put("p95", snapshot.get95thPercentile() / unit)
                .put("p99", snapshot.get99thPercentile() / unit)
                .put("max", snapshot.getMax() / unit);
    }
}
