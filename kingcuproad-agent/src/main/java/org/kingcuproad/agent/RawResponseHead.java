package org.kingcuproad.agent;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

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

    /** Returns the status; the first line must be a valid status line. */
    int status() {
        return Integer.parseInt(lines.getFirst().substring(STATUS_START, STATUS_START + STATUS_DIGITS));
    }

    /**
     * Returns the values of a header, one for each time it occurs, in their order. A line that begins with white space
     * belongs to the value before it.
     *
     * @param name name of the header, in any case
     * @return its values, without white space around them
     */
    List<String> values(String name) {
        List<String> fields = new ArrayList<>();
        for (String line : lines.subList(1, lines.size())) {
            if ((line.startsWith(" ") || line.startsWith("\t")) && !fields.isEmpty()) {
                fields.add(fields.removeLast() + line);
            } else {
                fields.add(line);
            }
        }
        return fields.stream()
                .map(field -> field.split(":", 2))
                .filter(field -> field.length == 2 && field[0].strip().equalsIgnoreCase(name))
                .map(field -> field[1].strip())
                .toList();
    }
}
