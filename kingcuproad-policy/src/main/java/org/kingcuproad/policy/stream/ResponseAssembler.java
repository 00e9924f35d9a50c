package org.kingcuproad.policy.stream;

import org.kingcuproad.model.ErrorKind;

/**
 * The entry's side of one response: reassembles the frames that arrive on the connections of one attempt and detects
 * when the response is complete.
 *
 * <p>All connections of an attempt carry the same bytes at the same offset, so the attempt and offset of a frame
 * determine how it is handled. A chunk that starts below the expected offset and ends above it delivers its new part:
 * after a resume, a late frame of the old connection may have moved the expected offset into the middle of the next
 * frame.
 */
public final class ResponseAssembler {

    private int attempt;
    private long expectedOffset;
    private boolean headDelivered;
    private boolean complete;
    private boolean aborted;

    /**
     * Creates an assembler for the first attempt.
     *
     * @param firstAttempt number of the attempt
     */
    public ResponseAssembler(int firstAttempt) {
        this.attempt = firstAttempt;
    }

    /**
     * Starts another attempt, which is possible only before anything was delivered to the caller.
     *
     * @param nextAttempt number of the attempt, greater than those before it
     * @return {@code false} if the response has begun or ended, or the number is not greater
     */
    public boolean startAttempt(int nextAttempt) {
        if (headDelivered || complete || aborted || nextAttempt <= attempt) {
            return false;
        }
        attempt = nextAttempt;
        return true;
    }

    /**
     * Processes a received frame.
     *
     * @param frameAttempt number of the attempt whose call delivered the frame
     * @param frame the frame
     * @return the action that the entry must take
     */
    public AssemblyStep accept(int frameAttempt, ResponseFrame frame) {
        if (frameAttempt != attempt || complete || aborted) {
            return new AssemblyStep.Drop();
        }
        return switch (frame) {
            case ResponseFrame.Head head -> acceptHead(head);
            case ResponseFrame.Chunk chunk -> acceptChunk(chunk);
            case ResponseFrame.End end -> acceptEnd(end);
            case ResponseFrame.Failure failure -> abort(failure.kind(), failure.detail());
        };
    }

    /**
     * Returns the body offset at which a new connection resumes.
     *
     * @return offset of the first byte of the body that was not received
     */
    public long resumeOffset() {
        return expectedOffset;
    }

    /**
     * Returns whether the head was delivered to the caller.
     *
     * @return {@code true} once the head was delivered
     */
    public boolean hasHead() {
        return headDelivered;
    }

    /**
     * Returns whether the response is complete.
     *
     * @return {@code true} once an end frame with the matching length has arrived
     */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Returns the attempt whose frames are delivered.
     *
     * @return number of the attempt
     */
    public int attempt() {
        return attempt;
    }

    private AssemblyStep acceptHead(ResponseFrame.Head head) {
        if (headDelivered) {
            return new AssemblyStep.Drop();
        }
        headDelivered = true;
        return new AssemblyStep.DeliverHead(head);
    }

    private AssemblyStep acceptChunk(ResponseFrame.Chunk chunk) {
        if (!headDelivered) {
            return protocolError("A chunk arrived before the head.");
        }
        if (chunk.offset() > expectedOffset) {
            return protocolError("A chunk starts at " + chunk.offset() + " instead of " + expectedOffset + ".");
        }
        if (chunk.endOffset() <= expectedOffset) {
            return new AssemblyStep.Drop();
        }
        int deliveredLength = (int) (expectedOffset - chunk.offset());
        expectedOffset = chunk.endOffset();
        return new AssemblyStep.DeliverBytes(
                chunk.data().slice(deliveredLength, chunk.data().length()), expectedOffset);
    }

    private AssemblyStep acceptEnd(ResponseFrame.End end) {
        if (!headDelivered || end.length() != expectedOffset) {
            return protocolError("The response ends at " + end.length() + " after " + expectedOffset + " bytes.");
        }
        complete = true;
        return new AssemblyStep.Complete();
    }

    private AssemblyStep protocolError(String detail) {
        return abort(ErrorKind.ANSWER_INCOMPLETE, detail);
    }

    private AssemblyStep abort(ErrorKind kind, String detail) {
        aborted = true;
        return new AssemblyStep.Abort(kind, detail);
    }
}
