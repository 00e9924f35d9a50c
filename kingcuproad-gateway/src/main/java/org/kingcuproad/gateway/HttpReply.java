package org.kingcuproad.gateway;

/** Result of a call. */
public sealed interface HttpReply {

    /**
     * A complete answer.
     *
     * @param status HTTP status
     * @param body body of the answer; must not be changed
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Answer(int status, byte[] body) implements HttpReply {}

    /**
     * No complete answer; the call may have been carried out.
     *
     * @param reason what happened
     */
    record Lost(String reason) implements HttpReply {}
}
