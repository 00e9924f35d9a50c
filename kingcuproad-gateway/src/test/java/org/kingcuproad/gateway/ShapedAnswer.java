package org.kingcuproad.gateway;

import java.nio.charset.StandardCharsets;

/**
 * What a client got for a request.
 *
 * @param status HTTP status, 0 if no head arrived
 * @param head the head, empty if none arrived
 * @param body the body without its framing, as far as it arrived
 * @param end how the answer ended
 * @param durationMs time from the request to that end, in milliseconds
 * @param drained whether the gateway was draining at the end
 */
@SuppressWarnings("ArrayRecordComponent")
record ShapedAnswer(int status, String head, byte[] body, End end, long durationMs, boolean drained) {

    /** How an answer ended. */
    enum End {
        /** Where its framing says. */
        WHOLE,
        /** With the connection, inside its framing. */
        BROKEN,
        /** With the connection, before a whole head. */
        NONE,
        /** By the client, which left. */
        LEFT,
        /** Not at all within the time that the client waited. */
        SILENT
    }

    String seal() {
        return FakeUpstream.header(head, "X-Seal");
    }

    /** Returns whether the gateway refused the request. */
    boolean refused() {
        return status == 503 && seal().isEmpty();
    }

    boolean successful() {
        return status / 100 == 2;
    }

    @Override
    public String toString() {
        String text = new String(body, StandardCharsets.UTF_8);
        return "answer " + status + " sealed " + seal() + ", " + end + " after " + durationMs + " ms"
                + (drained ? " in the drain" : "") + ", " + body.length + " bytes: "
                + (text.length() > 300 ? text.substring(0, 150) + " ... " + text.substring(text.length() - 150) : text);
    }
}
