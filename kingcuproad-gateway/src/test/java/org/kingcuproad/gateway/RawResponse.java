package org.kingcuproad.gateway;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
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

    /** Reads a response with a body in chunks or with a length from a connection that may stay open. */
    static RawResponse readMessage(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
            head.append(line).append("\r\n");
        }
        StringBuilder body = new StringBuilder();
        String length = FakeUpstream.header(head.toString(), "Content-Length");
        if (length.isEmpty()) {
            for (int size = readChunkSize(input); size > 0; size = readChunkSize(input)) {
                body.append(readText(input, size));
                readLine(input);
            }
            readLine(input);
        } else {
            body.append(readText(input, Integer.parseInt(length)));
        }
        return new RawResponse(Integer.parseInt(head.substring(9, 12)), head.toString(), body.toString());
    }

    private static int readChunkSize(InputStream input) throws IOException {
        return Integer.parseInt(readLine(input), 16);
    }

    private static String readText(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended before the response");
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended before the response");
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
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
