package org.kingcuproad.policy.stream;

import org.kingcuproad.model.ErrorKind;

/** What the entry does with a frame it received. */
public sealed interface AssemblyStep {

    /**
     * Passes the head to the caller.
     *
     * @param head status and headers
     */
    record DeliverHead(ResponseFrame.Head head) implements AssemblyStep {}

    /**
     * Passes bytes to the caller and acknowledges them afterwards.
     *
     * @param data the bytes that follow those already delivered
     * @param ackOffset offset to acknowledge once the caller's connection has taken the bytes
     */
    record DeliverBytes(Bytes data, long ackOffset) implements AssemblyStep {}

    /** Drops the frame: it repeats what was delivered or belongs to another attempt. */
    record Drop() implements AssemblyStep {}

    /** Ends the caller's response properly: every byte was delivered. */
    record Complete() implements AssemblyStep {}

    /**
     * Breaks the caller's response off: close without a final chunk, reset, or an error event.
     *
     * @param kind the kind of the failure
     * @param detail what went wrong
     */
    record Break(ErrorKind kind, String detail) implements AssemblyStep {}
}
