package org.kingcuproad.policy.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Cuts the bytes of an event stream into whole events.
 *
 * <p>An event ends with an empty line. Bytes after the last whole event are kept until the rest arrives.
 */
public final class EventScanner {

    /** An event of the users has about 70 bytes; several may arrive together. */
    private static final int INITIAL_BYTES = 512;

    private byte[] pending = new byte[INITIAL_BYTES];
    private int length;

    /**
     * Takes the next bytes of the stream.
     *
     * @param bytes the bytes
     * @return the events that are now whole, in order
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
        for (int at = searchFrom; at < length; at++) {
            if (pending[at] == '\n' && endsEmptyLine(at, start)) {
                events.add(event(start, at + 1));
                start = at + 1;
            }
        }
        if (start > 0) {
            System.arraycopy(pending, start, pending, 0, length - start);
            length -= start;
        }
        return events;
    }

    /**
     * Tells whether an event has begun and is not whole.
     *
     * @return {@code true} if bytes are kept
     */
    public boolean hasPartialEvent() {
        return length > 0;
    }

    private boolean endsEmptyLine(int at, int start) {
        return (at - 1 >= start && pending[at - 1] == '\n')
                || (at - 2 >= start && pending[at - 1] == '\r' && pending[at - 2] == '\n');
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
