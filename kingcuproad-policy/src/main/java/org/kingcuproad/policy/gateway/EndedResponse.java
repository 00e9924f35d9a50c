package org.kingcuproad.policy.gateway;

/**
 * What is known of a successful response when its end has been read.
 *
 * @param framing how it says where it ends
 * @param requestWritten {@code false} if the request could not be written to the upstream
 * @param hasBody whether at least one byte of its body was received
 * @param deadlineMs time at which the upstream stops working on the request, in milliseconds
 * @param events the events of an event stream, or {@link Events#NONE} for other bodies
 */
public record EndedResponse(
        ResponseFraming framing, boolean requestWritten, boolean hasBody, long deadlineMs, Events events) {

    /**
     * Events of an event stream.
     *
     * @param expected whether the response is an event stream
     * @param partial whether it ended inside an event
     * @param any whether the client has received any event of the stream, also from an earlier upstream
     * @param advanced whether this response contained an event that the client had not received
     */
    public record Events(boolean expected, boolean partial, boolean any, boolean advanced) {

        /** The response is no event stream. */
        public static final Events NONE = new Events(false, false, false, false);
    }
}
