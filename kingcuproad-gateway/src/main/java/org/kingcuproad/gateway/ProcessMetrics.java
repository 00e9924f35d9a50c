package org.kingcuproad.gateway;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import com.codahale.metrics.Snapshot;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Counters and latency histograms of a process, rendered as text with one {@code name value} pair per line. */
public final class ProcessMetrics {

    /** Window of the quantiles; covers a few scrapes of the metrics, which are a few seconds apart. */
    private static final long WINDOW_S = 30;

    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private final MetricRegistry registry = new MetricRegistry();

    /** Creates an empty set of metrics; counters and histograms are added on first use. */
    public ProcessMetrics() {}

    /**
     * Increments a counter.
     *
     * @param name name of the counter
     */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /**
     * Adds a value that is read whenever the metrics are rendered.
     *
     * @param name name of the value
     * @param value tells the present value
     */
    public void expose(String name, LongSupplier value) {
        registry.registerGauge(name, value::getAsLong);
    }

    /**
     * Records a duration.
     *
     * @param name name of the histogram
     * @param durationMs the duration, in milliseconds
     */
    public void time(String name, long durationMs) {
        Histogram histogram = registry.histogram(
                name, () -> new Histogram(new SlidingTimeWindowArrayReservoir(WINDOW_S, TimeUnit.SECONDS)));
        histogram.update(durationMs);
    }

    /**
     * Renders all counters and the quantiles of all histograms.
     *
     * @return the text
     */
    public String render() {
        StringBuilder text = new StringBuilder();
        registry.getCounters()
                .forEach((name, counter) ->
                        text.append(name).append(' ').append(counter.getCount()).append('\n'));
        registry.getGauges()
                .forEach((name, gauge) ->
                        text.append(name).append(' ').append(gauge.getValue()).append('\n'));
        registry.getHistograms().forEach((name, histogram) -> {
            Snapshot snapshot = histogram.getSnapshot();
            text.append(name).append("_count ").append(histogram.getCount()).append('\n');
            for (double quantile : QUANTILES) {
                text.append(String.format(
                        Locale.ROOT, "%s{quantile=\"%.2f\"} %.0f%n", name, quantile, snapshot.getValue(quantile)));
            }
        });
        return text.toString();
    }
}
