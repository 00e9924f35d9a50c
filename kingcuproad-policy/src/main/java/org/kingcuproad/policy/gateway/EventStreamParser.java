package org.kingcuproad.policy.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits the bytes of an event stream into complete events.
 *
 * <p>An event ends with a blank line. Bytes after the last complete event are buffered until the rest arrives.
 */
public final class EventStreamParser {

    /** Initial buffer size. Typical events have about 70 bytes, and several may arrive together. */
    private static final int INITIAL_BYTES = 512;

    /** Maximum size of an event. An upstream in trouble may send bytes without end, which must not fill the memory. */
    private static final int MAX_EVENT_BYTES = 256 << 10;

    private byte[] pending = new byte[INITIAL_BYTES];
    private int length;

    /**
     * Appends the next bytes of the stream.
     *
     * @param bytes the bytes
     * @return the events that are complete now, in stream order
     */
    public List<StreamEvent> feed(byte[] bytes) {
        if (length + bytes.length > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(length + bytes.length, pending.length * 2));
        }
        int searchFrom = Math.max(0, length - 3);
        System.arraycopy(bytes, 0, pending, length, bytes.length);
        length += bytes.length;
        List<StreamEvent> events = new ArrayList<>(1);
        int start = 0;
        for (int index = searchFrom; index < length; index++) {
            if (pending[index] == '\n' && endsBlankLine(index, start)) {
                events.add(event(start, index + 1));
                start = index + 1;
            }
        }
        if (start > 0) {
            System.arraycopy(pending, start, pending, 0, length - start);
            length -= start;
        }
        return events;
    }

    /**
     * Returns whether an incomplete event is buffered.
     *
     * @return {@code true} if the bytes received so far don't end with a complete event
     */
    public boolean hasPartialEvent() {
        return length > 0;
    }

    /**
     * Returns whether the incomplete event is larger than any event may be.
     *
     * @return {@code true} if the stream must be given up
     */
    public boolean exceedsMaxSize() {
        return length > MAX_EVENT_BYTES;
    }

    private boolean endsBlankLine(int index, int start) {
        return (index - 1 >= start && pending[index - 1] == '\n')
                || (index - 2 >= start && pending[index - 1] == '\r' && pending[index - 2] == '\n');
    }

    private StreamEvent event(int from, int to) {
        byte[] bytes = Arrays.copyOfRange(pending, from, to);
        long id = new String(bytes, StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith("id:"))
                .mapToLong(line -> parseId(line.substring("id:".length()).strip()))
                .findFirst()
                .orElse(StreamEvent.NO_ID);
        return new StreamEvent(id, bytes);
    }

    private static long parseId(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException notNumeric) {
            return StreamEvent.NO_ID;
        }
    }
}
