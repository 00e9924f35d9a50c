package org.kingcuproad.policy.gateway;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Recognises a second response that nothing separates from a body that ends with its connection.
 *
 * <p>A body may quote a response, so it counts only with the request id that every response carries.
 */
final class TrailingResponse {

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?: [^\r\n]*)?\r?\n");

    private TrailingResponse() {}

    /**
     * Returns whether a body holds the head of a response.
     *
     * @param body bytes of the body
     * @param requestIdHeader name of the header that tells which request a response answers
     * @return {@code true} if a status line is followed by header lines, one of which has that name
     */
    static boolean isIn(byte[] body, String requestIdHeader) {
        String text = new String(body, StandardCharsets.ISO_8859_1);
        Matcher statusLine = STATUS_LINE.matcher(text);
        while (statusLine.find()) {
            if (namesRequest(text, statusLine.end(), requestIdHeader)) {
                return true;
            }
        }
        return false;
    }

    private static boolean namesRequest(String text, int begin, String requestIdHeader) {
        return text.substring(begin)
                .lines()
                .takeWhile(line -> line.indexOf(':') > 0)
                .anyMatch(line -> line.substring(0, line.indexOf(':')).equalsIgnoreCase(requestIdHeader));
    }
}
