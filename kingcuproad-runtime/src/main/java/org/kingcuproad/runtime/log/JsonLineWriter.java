package org.kingcuproad.runtime.log;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Map;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/** A tinylog writer that prints one JSON object a line to standard error. */
public final class JsonLineWriter implements Writer {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final PrintStream output = System.err;

    /**
     * Creates the writer; called by tinylog.
     *
     * @param properties settings of the writer, of which none is used
     */
    public JsonLineWriter(Map<String, String> properties) {}

    @Override
    public Collection<LogEntryValue> getRequiredLogEntryValues() {
        return EnumSet.of(
                LogEntryValue.DATE,
                LogEntryValue.LEVEL,
                LogEntryValue.CLASS,
                LogEntryValue.MESSAGE,
                LogEntryValue.EXCEPTION,
                LogEntryValue.CONTEXT);
    }

    @Override
    public void write(LogEntry entry) {
        ObjectNode line = MAPPER.createObjectNode();
        line.put("time", entry.getTimestamp().toInstant().toString());
        line.put("level", entry.getLevel().name().toLowerCase(Locale.ROOT));
        line.put("logger", entry.getClassName());
        line.put("message", entry.getMessage());
        entry.getContext().forEach(line::put);
        if (entry.getException() != null) {
            line.put("exception", entry.getException().toString());
        }
        output.println(line);
    }

    @Override
    public void flush() {
        output.flush();
    }

    @Override
    public void close() {
        output.flush();
    }
}
