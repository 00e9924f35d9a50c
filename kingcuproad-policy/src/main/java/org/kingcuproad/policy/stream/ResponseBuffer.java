package org.kingcuproad.policy.stream;

import java.util.ArrayDeque;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;

/**
 * The agent's side of one response: holds the bytes that the entry has not acknowledged, so that a reader on a new
 * connection can resume at any of them.
 *
 * <p>A reader is one connection. A new reader replaces the one before it; calls in the name of a replaced reader have
 * no effect, except that an acknowledgement is valid from whichever connection it comes.
 */
public final class ResponseBuffer {

    /** Unacknowledged bytes that one response may hold. */
    public static final int LIMIT_BYTES = 256 * 1024;

    /**
     * Held bytes at which reading from the upstream stops. The 64 KiB up to the limit take what the HTTP client has
     * already read when it is told to stop.
     */
    public static final int STOP_BYTES = 192 * 1024;

    /** Held bytes below which reading starts again; the distance to the stop mark avoids a toggle with every chunk. */
    public static final int CONTINUE_BYTES = 128 * 1024;

    /** Time without any reader after which the agent cancels the run, in milliseconds. */
    public static final long EXPIRY_MS = 10_000;

    private final BufferBudget budget;
    private final ArrayDeque<ResponseFrame.Chunk> held = new ArrayDeque<>();
    private ResponseFrame.@Nullable Head head;
    private @Nullable ResponseFrame last;
    private long ackedOffset;
    private long writtenOffset;
    private long sendOffset;
    private boolean headSent;
    private boolean lastSent;
    private boolean stopped;
    private boolean closed;
    private int reader;
    private boolean attached;
    private long detachedAtMs;

    /**
     * Creates the buffer of one attempt, without a reader.
     *
     * @param budget bytes that all buffers of the agent share
     * @param nowMs present time
     */
    public ResponseBuffer(BufferBudget budget, long nowMs) {
        this.budget = budget;
        this.detachedAtMs = nowMs;
    }

    /**
     * Takes the head that the upstream sent.
     *
     * @param frame status and headers
     */
    public void head(ResponseFrame.Head frame) {
        head = frame;
    }

    /**
     * Takes bytes that the upstream sent.
     *
     * @param data the bytes, in order
     * @return {@code false} if the bytes do not fit below the limit; the response has then failed and the run is to be
     *     cancelled
     */
    public boolean append(Bytes data) {
        if (last != null || closed) {
            return false;
        }
        if (heldBytes() + data.length() > LIMIT_BYTES) {
            last = new ResponseFrame.Failure(
                    ErrorKind.ANSWER_INCOMPLETE, "The response buffer of the agent overflowed.");
            return false;
        }
        if (data.length() > 0) {
            held.addLast(new ResponseFrame.Chunk(writtenOffset, data));
            writtenOffset += data.length();
            budget.add(data.length());
        }
        return true;
    }

    /** Marks the response as whole: the upstream ended it properly. */
    public void end() {
        if (last == null) {
            last = new ResponseFrame.End(writtenOffset);
        }
    }

    /**
     * Marks the response as broken off. Bytes already held are still delivered before the failure.
     *
     * @param kind the kind of the failure
     * @param detail what went wrong
     */
    public void fail(ErrorKind kind, String detail) {
        if (last == null) {
            last = new ResponseFrame.Failure(kind, detail);
        }
    }

    /**
     * Tells whether the agent may read more from the upstream. To be asked after each append and acknowledgement.
     *
     * @return {@code false} if reading is to stop or to stay stopped
     */
    public boolean mayReadUpstream() {
        long bytes = heldBytes();
        if (bytes >= STOP_BYTES) {
            stopped = true;
        } else if (bytes < CONTINUE_BYTES) {
            stopped = false;
        }
        boolean overBudget = bytes > 0 && budget.exhausted();
        return !stopped && !overBudget && last == null && !closed;
    }

    /**
     * Attaches a reader, which replaces the one before it.
     *
     * @param offset first byte of the body that the entry has not received
     * @param hasHead whether the entry has the head
     * @param nowMs present time
     * @return the number of the reader, or empty if the offset is not held or the buffer expired or was closed
     */
    public Optional<Integer> attach(long offset, boolean hasHead, long nowMs) {
        if (closed || expired(nowMs) || offset < ackedOffset || offset > writtenOffset) {
            return Optional.empty();
        }
        acknowledge(offset);
        sendOffset = offset;
        headSent = hasHead;
        lastSent = false;
        attached = true;
        reader++;
        return Optional.of(reader);
    }

    /**
     * Notes that the connection of a reader is lost.
     *
     * @param readerNumber number that {@link #attach} returned
     * @param nowMs present time
     */
    public void detach(int readerNumber, long nowMs) {
        if (attached && readerNumber == reader) {
            attached = false;
            detachedAtMs = nowMs;
        }
    }

    /**
     * Returns the next frame to send to a reader.
     *
     * @param readerNumber number that {@link #attach} returned
     * @param maxBytes largest chunk to return
     * @return the frame, or empty if there is none now or the reader was replaced
     */
    public Optional<ResponseFrame> next(int readerNumber, int maxBytes) {
        if (!attached || readerNumber != reader || closed) {
            return Optional.empty();
        }
        if (!headSent && head != null) {
            headSent = true;
            return Optional.of(head);
        }
        if (sendOffset < writtenOffset) {
            return Optional.of(nextChunk(maxBytes));
        }
        if (last != null && !lastSent) {
            lastSent = true;
            return Optional.of(last);
        }
        return Optional.empty();
    }

    /**
     * Drops bytes that the entry has received.
     *
     * @param offset all bytes below it were received
     * @return {@code false} if the offset was never written, which is a protocol error of the entry
     */
    public boolean acknowledge(long offset) {
        if (offset > writtenOffset) {
            return false;
        }
        while (!held.isEmpty() && held.getFirst().endOffset() <= offset) {
            budget.remove(held.removeFirst().data().length());
        }
        if (!held.isEmpty() && held.getFirst().offset() < offset) {
            ResponseFrame.Chunk first = held.removeFirst();
            int cut = (int) (offset - first.offset());
            budget.remove(cut);
            held.addFirst(new ResponseFrame.Chunk(
                    offset, first.data().slice(cut, first.data().length())));
        }
        ackedOffset = Math.max(ackedOffset, offset);
        sendOffset = Math.max(sendOffset, ackedOffset);
        return true;
    }

    /**
     * Tells whether the run is to be cancelled because nobody resumed in time.
     *
     * @param nowMs present time
     * @return {@code true} if the last reader left {@link #EXPIRY_MS} ago
     */
    public boolean expired(long nowMs) {
        return !attached && nowMs - detachedAtMs >= EXPIRY_MS;
    }

    /** Frees the held bytes: the entry closed the call after the last frame, cancelled it, or the buffer expired. */
    public void close() {
        budget.remove(heldBytes());
        held.clear();
        ackedOffset = writtenOffset;
        sendOffset = writtenOffset;
        closed = true;
    }

    /**
     * Returns the unacknowledged bytes.
     *
     * @return bytes held
     */
    public long heldBytes() {
        return writtenOffset - ackedOffset;
    }

    private ResponseFrame.Chunk nextChunk(int maxBytes) {
        ResponseFrame.Chunk chunk = held.stream()
                .filter(candidate -> candidate.endOffset() > sendOffset)
                .findFirst()
                .orElseThrow();
        int from = (int) (sendOffset - chunk.offset());
        int to = Math.min(chunk.data().length(), from + maxBytes);
        ResponseFrame.Chunk result =
                new ResponseFrame.Chunk(sendOffset, chunk.data().slice(from, to));
        sendOffset = result.endOffset();
        return result;
    }
}
