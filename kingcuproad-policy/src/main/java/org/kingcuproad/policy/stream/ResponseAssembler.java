package org.kingcuproad.policy.stream;

import org.kingcuproad.model.ErrorKind;

/**
 * The entry's side of one response: puts the frames of all connections of one attempt together and tells when the
 * response is whole.
 *
 * <p>Bytes at one offset are the same on every connection of an attempt, so a frame is judged by its attempt and offset
 * only. A chunk that starts below the expected offset and ends above it delivers its new part: after a resume, a late
 * frame of the old connection may have moved the expected offset into the middle of the next frame.
 */
public final class ResponseAssembler {

    private int attempt;
    private long expectedOffset;
    private boolean headDelivered;
    private boolean complete;
    private boolean broken;

    /**
     * Starts with an attempt.
     *
     * @param firstAttempt number of the attempt
     */
    public ResponseAssembler(int firstAttempt) {
        this.attempt = firstAttempt;
    }

    /**
     * Starts another attempt, which is possible only before anything reached the caller.
     *
     * @param nextAttempt number of the attempt, greater than those before it
     * @return {@code false} if the response has begun or is over
     */
    public boolean startAttempt(int nextAttempt) {
        if (headDelivered || complete || broken || nextAttempt <= attempt) {
            return false;
        }
        attempt = nextAttempt;
        return true;
    }

    /**
     * Takes a frame.
     *
     * @param frameAttempt attempt whose call the frame arrived on
     * @param frame the frame
     * @return what to do with it
     */
    public AssemblyStep accept(int frameAttempt, ResponseFrame frame) {
        if (frameAttempt != attempt || complete || broken) {
            return new AssemblyStep.Drop();
        }
        return switch (frame) {
            case ResponseFrame.Head head -> acceptHead(head);
            case ResponseFrame.Chunk chunk -> acceptChunk(chunk);
            case ResponseFrame.End end -> acceptEnd(end);
            case ResponseFrame.Failure failure -> breakOff(failure.kind(), failure.detail());
        };
    }

    /**
     * Returns the offset at which a new connection resumes.
     *
     * @return first byte of the body that was not received
     */
    public long resumeOffset() {
        return expectedOffset;
    }

    /**
     * Tells whether the caller has the head.
     *
     * @return {@code true} once the head was delivered
     */
    public boolean hasHead() {
        return headDelivered;
    }

    /**
     * Tells whether the response is whole.
     *
     * @return {@code true} once an end mark with the right length arrived
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
        int known = (int) (expectedOffset - chunk.offset());
        expectedOffset = chunk.endOffset();
        return new AssemblyStep.DeliverBytes(
                chunk.data().slice(known, chunk.data().length()), expectedOffset);
    }

    private AssemblyStep acceptEnd(ResponseFrame.End end) {
        if (!headDelivered || end.length() != expectedOffset) {
            return protocolError("The response ends at " + end.length() + " after " + expectedOffset + " bytes.");
        }
        complete = true;
        return new AssemblyStep.Complete();
    }

    private AssemblyStep protocolError(String detail) {
        return breakOff(ErrorKind.ANSWER_INCOMPLETE, detail);
    }

    private AssemblyStep breakOff(ErrorKind kind, String detail) {
        broken = true;
        return new AssemblyStep.Break(kind, detail);
    }
}
