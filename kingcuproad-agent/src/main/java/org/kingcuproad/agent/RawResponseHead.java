package org.kingcuproad.agent;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.kingcuproad.policy.gateway.HeadVerdict;
import org.kingcuproad.policy.gateway.StatusLine;

/**
 * A response head as the upstream sent it.
 *
 * @param lines its lines without line ends, one character a byte; the first one is the status line
 * @param end index of the first byte after it
 */
record RawResponseHead(List<String> lines, int end) {

    private static final int STATUS_START = "HTTP/1.1 ".length();
    private static final int STATUS_DIGITS = 3;

    /**
     * Reads a head.
     *
     * @param bytes bytes of a response
     * @param start index at which the head starts
     * @return the head, or empty if its end is not among the bytes
     */
    static Optional<RawResponseHead> read(byte[] bytes, int start) {
        int lineStart = start;
        for (int index = start; index < bytes.length; index++) {
            if (bytes[index] != '\n') {
                continue;
            }
            boolean empty = index == lineStart || (index == lineStart + 1 && bytes[lineStart] == '\r');
            if (empty) {
                String text = new String(bytes, start, index - start, StandardCharsets.ISO_8859_1);
                return Optional.of(new RawResponseHead(List.of(text.split("\r?\n", -1)), index + 1));
            }
            lineStart = index + 1;
        }
        return Optional.empty();
    }

    /** Returns whether the final response is still to come. */
    boolean informational() {
        return status() < HeadVerdict.FIRST_FINAL_STATUS;
    }

    /** Returns what makes this no head of a response to a request of the agent, or empty. */
    Optional<String> fault() {
        if (!StatusLine.isValid(lines.getFirst())) {
            return Optional.of("no status line of HTTP/1");
        }
        return status() == HeadVerdict.SWITCHING_PROTOCOLS
                ? Optional.of("switch to a protocol that nobody asked for")
                : Optional.empty();
    }

    private int status() {
        return Integer.parseInt(lines.getFirst().substring(STATUS_START, STATUS_START + STATUS_DIGITS));
    }
}
