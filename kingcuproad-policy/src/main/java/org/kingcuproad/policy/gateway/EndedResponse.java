package org.kingcuproad.policy.gateway;

/**
 * What is known of a response when its end has been read.
 *
 * @param framing how it says where it ends
 * @param requestWritten {@code false} if the request could not be written to the upstream
 * @param body what its body shows about its own end; {@link BodyEnd#UNKNOWN} for event streams
 * @param habit how the upstream or, unless it is believed by itself, its service says where responses end
 * @param rankCrashed whether the upstreams are ranks of a group of which one is known to have crashed
 * @param deadlineMs time at which the upstream stops working on the request, in milliseconds
 * @param events the events of an event stream, or {@link Events#NONE} for other bodies
 */
public record EndedResponse(
        ResponseFraming framing,
        boolean requestWritten,
        BodyEnd body,
        FramingHabit.Kind habit,
        boolean rankCrashed,
        long deadlineMs,
        Events events) {

    /**
     * Events of an event stream.
     *
     * @param expected whether the response is an event stream
     * @param partial whether it ended inside an event
     * @param any whether the client has received any event of the stream, also from an earlier upstream
     * @param advanced whether this response contained an event that the client had not received
     * @param endedThere whether an earlier upstream has ended the stream in an orderly way after the last event that
     *     the client has received
     */
    public record Events(boolean expected, boolean partial, boolean any, boolean advanced, boolean endedThere) {

        /** The response is no event stream. */
        public static final Events NONE = new Events(false, false, false, false, false);
    }
}
