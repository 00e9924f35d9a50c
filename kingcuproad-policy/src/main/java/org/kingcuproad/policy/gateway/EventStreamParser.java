package org.kingcuproad.policy.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits the bytes of an event stream into complete events.
 *
 * <p>An event ends with the blank line after its last line. Blank lines before an event belong to it, so that an
 * upstream that sends only line ends doesn't produce events. Bytes after the last complete event are buffered until the
 * rest arrives.
 */
public final class EventStreamParser {

    /**
     * Maximum size of an event, and of what an upstream may send without an event that advances the stream. An upstream
     * in trouble may send bytes without end, which must not fill the memory or occupy the gateway.
     */
    public static final int MAX_EVENT_BYTES = 256 << 10;

    /** Initial buffer size. Typical events have about 70 bytes, and several may arrive together. */
    private static final int INITIAL_BYTES = 512;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.UTF_8);

    private final boolean framed;
    private byte[] pending = new byte[INITIAL_BYTES];
    private int length;
    private int scanned;
    private int lineStart;
    private boolean lineSeen;
    private boolean foreign;
    private boolean outOfOrder;
    private long lastId = StreamEvent.NO_ID;
    private boolean onlyComments = true;
    private boolean idSeen;
    private long id = StreamEvent.NO_ID;

    /** Creates a parser at the start of a stream with a length or chunks, all bytes of which belong to it. */
    public EventStreamParser() {
        this(ResponseFraming.CHUNKS);
    }

    /**
     * Creates a parser at the start of a stream.
     *
     * @param framing how its response says where it ends; after a stream that ends with its connection, bytes may
     *     follow that are none of its own
     */
    public EventStreamParser(ResponseFraming framing) {
        this.framed = framing != ResponseFraming.CONNECTION;
    }

    /**
     * Appends the next bytes of the stream.
     *
     * @param bytes the bytes
     * @return the events that are complete now, in stream order; none from the one on that has the first foreign line
     *     or a lower id than an event before
     */
    public List<StreamEvent> feed(byte[] bytes) {
        if (length + bytes.length > pending.length) {
            pending = Arrays.copyOf(pending, Math.max(length + bytes.length, pending.length * 2));
        }
        System.arraycopy(bytes, 0, pending, length, bytes.length);
        length += bytes.length;
        List<StreamEvent> events = new ArrayList<>(1);
        int start = 0;
        for (; scanned < length && !foreign && !outOfOrder; scanned++) {
            if (pending[scanned] == '\n') {
                boolean ends = endsEvent(scanned);
                outOfOrder = ends && id != StreamEvent.NO_ID && id < lastId;
                if (ends && !outOfOrder) {
                    events.add(new StreamEvent(id, Arrays.copyOfRange(pending, start, scanned + 1), onlyComments));
                    start = scanned + 1;
                    resetEvent();
                }
                lineStart = scanned + 1;
            }
        }
        if (start > 0) {
            System.arraycopy(pending, start, pending, 0, length - start);
            length -= start;
            scanned -= start;
            lineStart -= start;
        }
        return events;
    }

    /**
     * Returns whether an incomplete event is buffered.
     *
     * @return {@code true} if the bytes received so far end with a part of an event; blank lines are no part of one
     */
    public boolean hasPartialEvent() {
        return lineSeen || lineStart < length;
    }

    /**
     * Returns whether a line was received that is none of an event stream, so that nothing from its event on belongs to
     * the stream.
     *
     * @return {@code true} if the stream must be given up; never for one with a length or chunks
     */
    public boolean hasForeignLine() {
        return foreign;
    }

    /**
     * Returns whether the id of an event was lower than that of an event before it, so that the stream doesn't show
     * what is missing in it.
     *
     * @return {@code true} if the stream must be given up
     */
    public boolean outOfOrder() {
        return outOfOrder;
    }

    /**
     * Returns the blank lines after the last event, which end a stream that has no partial event.
     *
     * @return the bytes that are buffered
     */
    public byte[] trailingBytes() {
        return Arrays.copyOf(pending, length);
    }

    /**
     * Returns the size of the buffer for the incomplete event.
     *
     * @return number of bytes
     */
    public int bufferBytes() {
        return pending.length;
    }

    /**
     * Returns whether the incomplete event is larger than any event may be.
     *
     * @return {@code true} if the stream must be given up
     */
    public boolean exceedsMaxSize() {
        return length > MAX_EVENT_BYTES;
    }

    /** Evaluates the line that ends with the line feed at an index, and returns whether an event ends there too. */
    private boolean endsEvent(int index) {
        int lineEnd = index > lineStart && pending[index - 1] == '\r' ? index - 1 : index;
        if (lineEnd == lineStart) {
            return lineSeen;
        }
        lineSeen = true;
        foreign = !framed && !EventLine.isValid(pending, lineStart, lineEnd);
        onlyComments &= pending[lineStart] == ':';
        if (!idSeen && startsWithIdField(lineEnd)) {
            idSeen = true;
            id = parseId(lineStart + ID_FIELD.length, lineEnd);
        }
        return false;
    }

    private boolean startsWithIdField(int lineEnd) {
        int fieldEnd = lineStart + ID_FIELD.length;
        return fieldEnd <= lineEnd && Arrays.equals(pending, lineStart, fieldEnd, ID_FIELD, 0, ID_FIELD.length);
    }

    private long parseId(int from, int to) {
        try {
            return Long.parseLong(new String(pending, from, to - from, StandardCharsets.UTF_8).strip());
        } catch (NumberFormatException notNumeric) {
            return StreamEvent.NO_ID;
        }
    }

    private void resetEvent() {
        lastId = Math.max(lastId, id);
        lineSeen = false;
        onlyComments = true;
        idSeen = false;
        id = StreamEvent.NO_ID;
    }
}
