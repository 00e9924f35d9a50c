package org.kingcuproad.runtime.log;

import java.util.Locale;

/** One line of the log while it is being put together. */
public final class LogEvent {

    private static final char FIRST_PRINTABLE = ' ';

    private final StringBuilder line;
    private final LineSink sink;
    private final boolean wanted;

    LogEvent(String head, LineSink sink, boolean wanted) {
        this.line = new StringBuilder(head);
        this.sink = sink;
        this.wanted = wanted;
    }

    /**
     * Adds a text.
     *
     * @param name name of the field
     * @param value the text
     * @return this event
     */
    public LogEvent field(String name, String value) {
        if (wanted) {
            line.append(",\"").append(name).append("\":\"");
            escape(value);
            line.append('"');
        }
        return this;
    }

    /**
     * Adds a whole number.
     *
     * @param name name of the field
     * @param value the number
     * @return this event
     */
    public LogEvent field(String name, long value) {
        if (wanted) {
            line.append(",\"").append(name).append("\":").append(value);
        }
        return this;
    }

    /**
     * Adds a truth value.
     *
     * @param name name of the field
     * @param value the value
     * @return this event
     */
    public LogEvent field(String name, boolean value) {
        if (wanted) {
            line.append(",\"").append(name).append("\":").append(value);
        }
        return this;
    }

    /** Writes the line. */
    public void write() {
        if (wanted) {
            sink.offer(line.append('}').toString());
        }
    }

    private void escape(String value) {
        for (int at = 0; at < value.length(); at++) {
            char character = value.charAt(at);
            if (character == '"' || character == '\\') {
                line.append('\\').append(character);
            } else if (character < FIRST_PRINTABLE) {
                line.append(String.format(Locale.ROOT, "\\u%04x", (int) character));
            } else {
                line.append(character);
            }
        }
    }
}
