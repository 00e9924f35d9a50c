package org.kingcuproad.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * A response read until the connection is closed.
 *
 * @param status HTTP status
 * @param head status line and headers
 * @param body body without its chunk framing
 */
record RawResponse(int status, String head, String body) {

    static RawResponse read(InputStream input) throws IOException {
        String text = new String(input.readAllBytes(), StandardCharsets.UTF_8);
        int end = text.indexOf("\r\n\r\n");
        if (end < 0) {
            throw new IOException("incomplete response: " + text);
        }
        String head = text.substring(0, end);
        String rest = text.substring(end + 4);
        boolean chunked = head.toLowerCase(java.util.Locale.ROOT).contains("transfer-encoding: chunked");
        return new RawResponse(Integer.parseInt(head.substring(9, 12)), head, chunked ? unchunk(rest) : rest);
    }

    private static String unchunk(String text) throws IOException {
        StringBuilder body = new StringBuilder();
        int position = 0;
        while (true) {
            int lineEnd = text.indexOf("\r\n", position);
            if (lineEnd < 0) {
                throw new IOException("response ends within the chunked body");
            }
            int length = Integer.parseInt(text.substring(position, lineEnd), 16);
            if (length == 0) {
                return body.toString();
            }
            body.append(text, lineEnd + 2, lineEnd + 2 + length);
            position = lineEnd + 2 + length + 2;
        }
    }

    Optional<String> header(String name) {
        String value = FakeUpstream.header(head, name);
        return value.isEmpty() ? Optional.empty() : Optional.of(value);
    }
}
