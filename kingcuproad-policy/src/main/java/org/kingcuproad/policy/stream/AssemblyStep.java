package org.kingcuproad.policy.stream;

import org.kingcuproad.model.ErrorKind;

/** Action that the entry takes for a received frame. */
public sealed interface AssemblyStep {

    /**
     * Passes the head to the caller.
     *
     * @param head status and headers
     */
    record DeliverHead(ResponseFrame.Head head) implements AssemblyStep {}

    /**
     * Passes bytes to the caller, which are acknowledged afterwards.
     *
     * @param data the bytes that directly follow those already delivered
     * @param ackOffset offset to acknowledge once the bytes have been written to the caller's connection
     */
    record DeliverBytes(Bytes data, long ackOffset) implements AssemblyStep {}

    /** Discards the frame: it is a duplicate, belongs to another attempt, or arrived after the end of the response. */
    record Drop() implements AssemblyStep {}

    /** Ends the caller's response normally, because every byte was delivered. */
    record Complete() implements AssemblyStep {}

    /**
     * Aborts the caller's response: close without a final chunk, reset the stream, or send an error event.
     *
     * @param kind error kind of the failure
     * @param detail description of the failure
     */
    record Abort(ErrorKind kind, String detail) implements AssemblyStep {}
}
