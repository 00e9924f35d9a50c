package org.kingcuproad.policy.gateway;

/**
 * Decides whether a response is complete when its end has been read.
 *
 * <p>This answers the load of upstreams in trouble whose responses state neither a length nor chunks. Such a response
 * ends with its connection, and so does one that was cut off: the end of a process and proxies on the way turn a cut
 * into an orderly end. A client that gets a part as the whole never asks again, so without evidence of its own a
 * response is not complete.
 */
public sealed interface ResponseEnd {

    /**
     * Time before the deadline from which the end of a connection is taken for that of the upstream's work. Upstreams
     * count the time that they are given in whole milliseconds, and their timers and this gateway's differ by a few.
     */
    long DEADLINE_TOLERANCE_MS = 25;

    /**
     * The response is complete.
     *
     * @param evidence why, for the log
     */
    record Complete(String evidence) implements ResponseEnd {}

    /**
     * The response was cut off.
     *
     * @param reason why it can't be complete
     */
    record CutOff(String reason) implements ResponseEnd {}

    /** Nothing shows that the response is complete; another upstream may be asked. */
    record Unconfirmed() implements ResponseEnd {}

    /**
     * The response is complete unless the upstream has crashed.
     *
     * @param evidence why, for the log
     */
    record Probable(String evidence) implements ResponseEnd {}

    /**
     * Decides about a response.
     *
     * @param response what is known of it
     * @param nowMs current time, in milliseconds
     * @return whether it is complete
     */
    static ResponseEnd of(EndedResponse response, long nowMs) {
        EndedResponse.Events events = response.events();
        if (events.partial()) {
            return new CutOff("the stream ended inside an event");
        }
        if (events.expected() && !events.any()) {
            return new CutOff("the stream ended before its first event");
        }
        if (response.framing() != ResponseFraming.CONNECTION) {
            return new Complete(response.framing().toString());
        }
        return switch (response.body()) {
            case WHOLE -> new Complete("whole document");
            case NOT_WHOLE -> new CutOff("the connection ended within the body, or something else follows it");
            case EMPTY, UNKNOWN -> ofConnection(response, nowMs);
        };
    }

    /**
     * Decides about a response for which its upstream has been probed, since its end was that of the connection.
     *
     * @param evidence why the response is complete if the upstream has not crashed, or empty
     * @param life what is known of the upstream after the probe
     * @return whether the response is complete; never {@link Probable}
     */
    static ResponseEnd ofProbed(String evidence, UpstreamLife life) {
        return switch (life) {
            case LISTENING -> evidence.isEmpty() ? new Unconfirmed() : new Complete(evidence);
            case SILENT, ENDS_AS_PLANNED -> new Unconfirmed();
            case ENDED -> new CutOff("the connection ended and the upstream no longer listens");
            case RANK_CRASHED -> new CutOff("the connection ended after another rank of the group had crashed");
        };
    }

    private static ResponseEnd ofConnection(EndedResponse response, long nowMs) {
        EndedResponse.Events events = response.events();
        if (!response.requestWritten()) {
            return new CutOff("the connection ended while the request was written");
        }
        if (response.rankCrashed()) {
            // The other ranks of a group cut off what is in progress, and go on listening.
            return new CutOff("the connection ended after another rank of the group had crashed");
        }
        if (nowMs >= response.deadlineMs() - DEADLINE_TOLERANCE_MS) {
            return new CutOff("the connection ended at the deadline");
        }
        if (events.expected() && !events.advanced()) {
            return ofEmptyResumption(response);
        }
        if (response.body() == BodyEnd.EMPTY) {
            return new CutOff("the connection ended before the first byte of the body");
        }
        return response.habit() == FramingHabit.Kind.ENDS_WITH_CONNECTION
                ? new Probable("the upstream ends all responses with their connection")
                : new Unconfirmed();
    }

    /** Cuts most often come before the first event, so where upstreams state ends, one that doesn't is no evidence. */
    private static ResponseEnd ofEmptyResumption(EndedResponse response) {
        if (!response.events().endedThere()) {
            return new CutOff("the connection ended before an event of the resumed stream");
        }
        return response.habit() == FramingHabit.Kind.STATES_ENDS
                ? new Unconfirmed()
                : new Probable("the stream was ended twice after the same event");
    }
}
