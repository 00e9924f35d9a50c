package org.kingcuproad.gateway;

import java.util.Arrays;

/** What an upstream knows of one run of a request: what it wrote, and how that ended. */
final class ShapedRun {

    /** How a run ended. */
    enum End {
        /** The request has not been read to its end, or its response is still being written. */
        OPEN,
        /** The whole response was written. */
        WHOLE,
        /** The response was broken off. */
        CUT
    }

    private static final int GATEWAY_TIMEOUT = 504;
    private static final String LATE = "deadline";

    private final ShapedResponse response;
    private volatile boolean ran;
    private volatile boolean late;
    private volatile boolean spoiled;
    private volatile byte[] trailing = {};
    private volatile int bodyBytesWritten;
    private volatile End end = End.OPEN;

    ShapedRun(ShapedResponse response) {
        this.response = response;
    }

    ShapedResponse response() {
        return response;
    }

    /** Returns whether the upstream began to work on the request. */
    boolean ran() {
        return ran;
    }

    void onRun() {
        ran = !response.notRun();
    }

    End end() {
        return end;
    }

    void end(End reached) {
        end = reached;
    }

    /** Records that the deadline had passed before the response began. */
    void onLate() {
        late = true;
    }

    /** Records that bytes of no response to a request of the connection were written before the response. */
    void onSpoiled() {
        spoiled = true;
    }

    /** Returns whether what was written is no response of the protocol to the request. */
    boolean improper() {
        return spoiled || (!late && response.improper());
    }

    /** Records bytes that were written after a body that ends with its connection, of which they seem to be a part. */
    void onTrailing(byte[] bytes) {
        trailing = bytes;
    }

    /** Records that the connection had ended before the first byte after the body was written. */
    void onTrailingUnwritten() {
        trailing = new byte[0];
        end = End.WHOLE;
    }

    int status() {
        return late ? GATEWAY_TIMEOUT : response.status();
    }

    boolean successful() {
        return !late && !improper() && response.successful();
    }

    /** Adds to the number of bytes of the body that may have been written. */
    void onWrite(int bodyBytes) {
        bodyBytesWritten += bodyBytes;
    }

    int bodyBytesWritten() {
        return bodyBytesWritten;
    }

    /** Returns the bytes of the body that may have been written. */
    byte[] writtenBody() {
        if (late) {
            return lateBody();
        }
        byte[] written = Arrays.copyOf(response.body(), bodyBytesWritten + trailing.length);
        System.arraycopy(trailing, 0, written, bodyBytesWritten, trailing.length);
        return written;
    }

    byte[] lateBody() {
        return ShapedDraws.pattern(LATE + response.seal(), LATE.length());
    }

    @Override
    public String toString() {
        return "run " + response.seal() + " " + status() + " " + response.headShape() + " " + response.framing() + " "
                + (response.events().isPresent() ? "stream" : "body") + " of " + response.body().length + ", " + end
                + " after " + bodyBytesWritten + "+" + trailing.length + ", cut=" + response.cut() + " "
                + response.cutPoint() + ", spoiled=" + spoiled + ", ran=" + ran + ", early="
                + response.early() + ", flood=" + response.flood() + ", stutter=" + response.stutter();
    }
}
