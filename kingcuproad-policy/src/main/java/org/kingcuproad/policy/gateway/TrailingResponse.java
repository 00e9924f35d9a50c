package org.kingcuproad.policy.gateway;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Recognises a second response that nothing separates from a body that ends with its connection.
 *
 * <p>A body may quote a response, so it counts only with the request id that every response carries.
 */
final class TrailingResponse {

    /** The end of a line; nothing may separate a status line from the body before it. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?: [^\r\n]*)?\\z");

    private TrailingResponse() {}

    /**
     * Returns whether a body holds the head of a response.
     *
     * @param body bytes of the body
     * @param requestIdHeader name of the header that tells which request a response answers
     * @return {@code true} if a status line is followed by header lines, one of which has that name
     */
    static boolean isIn(byte[] body, String requestIdHeader) {
        boolean inHead = false;
        String text = new String(body, StandardCharsets.ISO_8859_1);
        for (String line : (Iterable<String>) text.lines()::iterator) {
            int nameEnd = line.indexOf(':');
            if (inHead && nameEnd > 0 && line.substring(0, nameEnd).equalsIgnoreCase(requestIdHeader)) {
                return true;
            }
            inHead = (inHead && nameEnd > 0) || STATUS_LINE.matcher(line).find();
        }
        return false;
    }
}
