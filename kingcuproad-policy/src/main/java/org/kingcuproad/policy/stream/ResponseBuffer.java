package org.kingcuproad.policy.stream;

import java.util.ArrayDeque;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.kingcuproad.model.ErrorKind;

/**
 * The agent's side of one response: holds the bytes that the entry has not acknowledged, so that a reader on a new
 * connection can resume from any of them.
 *
 * <p>Each reader represents one connection. A new reader replaces the previous one; calls on behalf of a replaced
 * reader have no effect, except that an acknowledgement is valid from any connection.
 */
public final class ResponseBuffer {

    /** Maximum unacknowledged bytes of one response. */
    public static final int MAX_UNACKNOWLEDGED_BYTES = 256 * 1024;

    /**
     * Unacknowledged bytes at which reading from the upstream pauses. The 64 KiB left below the limit absorb what the
     * HTTP client has already read when it is told to pause.
     */
    public static final int HIGH_WATERMARK_BYTES = 192 * 1024;

    /**
     * Unacknowledged bytes below which reading resumes; the gap to the high watermark avoids toggling with every chunk.
     */
    public static final int LOW_WATERMARK_BYTES = 128 * 1024;

    /** Time without a reader after which the agent cancels the run, in milliseconds. */
    public static final long RESUME_TIMEOUT_MS = 10_000;

    private final BufferBudget budget;
    private final ArrayDeque<ResponseFrame.Chunk> unacknowledged = new ArrayDeque<>();
    private ResponseFrame.@Nullable Head head;
    private @Nullable ResponseFrame finalFrame;
    private long ackedOffset;
    private long writtenOffset;
    private long sendOffset;
    private boolean headSent;
    private boolean finalFrameSent;
    private boolean readingPaused;
    private boolean closed;
    private int reader;
    private boolean attached;
    private long detachedAtMs;

    /**
     * Creates the buffer of one attempt, without a reader.
     *
     * @param budget byte budget shared by all buffers of the agent
     * @param nowMs current time, in milliseconds
     */
    public ResponseBuffer(BufferBudget budget, long nowMs) {
        this.budget = budget;
        this.detachedAtMs = nowMs;
    }

    /**
     * Sets the response head received from the upstream.
     *
     * @param frame status and headers
     */
    public void head(ResponseFrame.Head frame) {
        head = frame;
    }

    /**
     * Appends body bytes received from the upstream.
     *
     * @param data the bytes, in order
     * @return {@code false} if the bytes exceed the limit, in which case the response has failed and the run must be
     *     cancelled, or if the response has already ended or the buffer is closed
     */
    public boolean append(Bytes data) {
        if (finalFrame != null || closed) {
            return false;
        }
        if (unacknowledgedBytes() + data.length() > MAX_UNACKNOWLEDGED_BYTES) {
            finalFrame = new ResponseFrame.Failure(
                    ErrorKind.ANSWER_INCOMPLETE, "The response buffer of the agent overflowed.");
            return false;
        }
        if (data.length() > 0) {
            unacknowledged.addLast(new ResponseFrame.Chunk(writtenOffset, data));
            writtenOffset += data.length();
            budget.add(data.length());
        }
        return true;
    }

    /** Marks the response as complete, after the upstream ended it normally. */
    public void end() {
        if (finalFrame == null) {
            finalFrame = new ResponseFrame.End(writtenOffset);
        }
    }

    /**
     * Marks the response as failed. Bytes already held are still delivered before the failure frame.
     *
     * @param kind error kind of the failure
     * @param detail description of the failure
     */
    public void fail(ErrorKind kind, String detail) {
        if (finalFrame == null) {
            finalFrame = new ResponseFrame.Failure(kind, detail);
        }
    }

    /**
     * Returns whether the agent may read more from the upstream. Must be called after each append and acknowledgement.
     *
     * @return {@code false} if reading must pause or stay paused
     */
    public boolean mayReadUpstream() {
        long bytes = unacknowledgedBytes();
        if (bytes >= HIGH_WATERMARK_BYTES) {
            readingPaused = true;
        } else if (bytes < LOW_WATERMARK_BYTES) {
            readingPaused = false;
        }
        boolean overBudget = bytes > 0 && budget.exhausted();
        return !readingPaused && !overBudget && finalFrame == null && !closed;
    }

    /**
     * Attaches a reader, which replaces the previous one.
     *
     * @param offset offset of the first byte of the body that the entry has not received
     * @param hasHead whether the entry has received the head
     * @param nowMs current time, in milliseconds
     * @return the number of the reader, or empty if the offset is not held, or the buffer has expired or was closed
     */
    public Optional<Integer> attach(long offset, boolean hasHead, long nowMs) {
        if (closed || expired(nowMs) || offset < ackedOffset || offset > writtenOffset) {
            return Optional.empty();
        }
        acknowledge(offset);
        sendOffset = offset;
        headSent = hasHead;
        finalFrameSent = false;
        attached = true;
        reader++;
        return Optional.of(reader);
    }

    /**
     * Detaches a reader whose connection is lost and starts the resume timeout.
     *
     * @param readerNumber number that {@link #attach} returned
     * @param nowMs current time, in milliseconds
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
     * @param maxBytes maximum size of a returned chunk, in bytes
     * @return the frame, or empty if none is available now or the reader was replaced
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
        if (finalFrame != null && !finalFrameSent) {
            finalFrameSent = true;
            return Optional.of(finalFrame);
        }
        return Optional.empty();
    }

    /**
     * Releases bytes that the entry has received.
     *
     * @param offset offset below which all bytes were received
     * @return {@code false} if the offset is beyond the bytes written, which is a protocol error of the entry
     */
    public boolean acknowledge(long offset) {
        if (offset > writtenOffset) {
            return false;
        }
        while (!unacknowledged.isEmpty() && unacknowledged.getFirst().endOffset() <= offset) {
            budget.remove(unacknowledged.removeFirst().data().length());
        }
        if (!unacknowledged.isEmpty() && unacknowledged.getFirst().offset() < offset) {
            ResponseFrame.Chunk first = unacknowledged.removeFirst();
            int acknowledgedLength = (int) (offset - first.offset());
            budget.remove(acknowledgedLength);
            unacknowledged.addFirst(new ResponseFrame.Chunk(
                    offset, first.data().slice(acknowledgedLength, first.data().length())));
        }
        ackedOffset = Math.max(ackedOffset, offset);
        sendOffset = Math.max(sendOffset, ackedOffset);
        return true;
    }

    /**
     * Returns whether the run must be cancelled because no reader resumed in time.
     *
     * @param nowMs current time, in milliseconds
     * @return {@code true} if there has been no reader for {@link #RESUME_TIMEOUT_MS}
     */
    public boolean expired(long nowMs) {
        return !attached && nowMs - detachedAtMs >= RESUME_TIMEOUT_MS;
    }

    /**
     * Releases all held bytes. Called when the entry closes the call after the final frame or cancels it, or when the
     * buffer has expired.
     */
    public void close() {
        budget.remove(unacknowledgedBytes());
        unacknowledged.clear();
        ackedOffset = writtenOffset;
        sendOffset = writtenOffset;
        closed = true;
    }

    /**
     * Returns the number of unacknowledged bytes.
     *
     * @return bytes written but not yet acknowledged
     */
    public long unacknowledgedBytes() {
        return writtenOffset - ackedOffset;
    }

    private ResponseFrame.Chunk nextChunk(int maxBytes) {
        ResponseFrame.Chunk chunk = unacknowledged.stream()
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
