package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 messages, read and written without a library. */
final class Http {

    /** A message; header names are in lower case. */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    private Http() {}

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 1 << 16);
    }

    /** Reads a line without its end, or null if the connection ends before its first byte. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.size() > 0) {
                    throw new EOFException("the connection ended within a line");
                }
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    /** Reads the start line and the headers, or returns null if the connection ends before the first byte. */
    static Message readHead(InputStream in) throws IOException {
        String start = readLine(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); !"".equals(line); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("the connection ended within a head");
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return new Message(start, headers, new byte[0]);
    }

    /** Reads a chunk, or an empty array for the last one. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("the connection ended before a chunk");
        }
        byte[] chunk = readFully(in, Integer.parseInt(size.split(";")[0].strip(), 16));
        readLine(in);
        return chunk;
    }

    static byte[] readFully(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    /** Reads a whole message, or returns null if the connection ends before the first byte. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        byte[] body;
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                all.write(chunk);
            }
            body = all.toByteArray();
        } else {
            String length = head.header("content-length");
            body = readFully(in, length.isEmpty() ? 0 : Integer.parseInt(length));
        }
        return new Message(head.startLine(), head.headers(), body);
    }

    /** Encodes a message with a length. */
    static byte[] encode(String startLine, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(startLine).append("\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        byte[] headBytes = head.toString().getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        return all;
    }

    static byte[] encode(int status, Map<String, String> headers, String body) {
        return encode("HTTP/1.1 " + status + " X", headers, body.getBytes(StandardCharsets.UTF_8));
    }
}
