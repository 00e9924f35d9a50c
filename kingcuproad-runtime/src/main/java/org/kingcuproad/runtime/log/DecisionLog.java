package org.kingcuproad.runtime.log;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * Structured log of decisions: one JSON object a line, bounded for each kind of event.
 *
 * <p>Lines of one kind beyond the rate are left out and counted; the next line of that kind carries the count.
 */
public final class DecisionLog {

    /** Lines of one kind in a second. A gateway of the users serves some tens of requests a second. */
    private static final int MAX_LINES_A_SECOND = 100;

    private static final long SECOND_MS = 1_000;

    private final LineSink sink;
    private final LongSupplier wallMs;
    private final Map<String, Rate> rates = new HashMap<>();
    private long suppressedLines;

    /**
     * Creates a log.
     *
     * @param sink where lines go
     * @param wallMs tells the time of day, in Unix milliseconds
     */
    public DecisionLog(LineSink sink, LongSupplier wallMs) {
        this.sink = sink;
        this.wallMs = wallMs;
    }

    /**
     * Begins a line.
     *
     * @param name what happened, the same text for each event of its kind
     * @return the line, to be given its fields and written
     */
    public LogEvent event(String name) {
        return event(name, "");
    }

    /**
     * Begins a line of an event of which some kinds are rare, so that a flood of others doesn't keep them out.
     *
     * @param name what happened, the same text for each event of its kind
     * @param kind kind whose lines are counted together; there must be few of them
     * @return the line, to be given its fields and written
     */
    public synchronized LogEvent event(String name, String kind) {
        long nowMs = wallMs.getAsLong();
        Rate rate = rates.computeIfAbsent(kind.isEmpty() ? name : name + " " + kind, unused -> new Rate());
        if (nowMs / SECOND_MS != rate.second) {
            rate.second = nowMs / SECOND_MS;
            rate.lines = 0;
        }
        boolean wanted = rate.lines < MAX_LINES_A_SECOND;
        rate.lines++;
        if (!wanted) {
            rate.suppressed++;
            suppressedLines++;
        }
        LogEvent event = new LogEvent("{\"timeMs\":" + nowMs + ",\"event\":\"" + name + "\"", sink, wanted);
        if (wanted && rate.suppressed > 0) {
            event.field("suppressed", rate.suppressed);
            rate.suppressed = 0;
        }
        return event;
    }

    /**
     * Returns how many lines were left out because of their rate.
     *
     * @return number of lines since the start
     */
    public synchronized long suppressedLines() {
        return suppressedLines;
    }

    /**
     * Returns how many lines were lost because the output took them too slowly or not at all.
     *
     * @return number of lines since the start
     */
    public long droppedLines() {
        return sink.droppedLines();
    }

    private static final class Rate {

        private long second;
        private int lines;
        private long suppressed;
    }
}
