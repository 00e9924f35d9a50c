package org.kingcuproad.gateway;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads heads and bodies of messages from a connection. */
final class ShapedInput {

    /** More than any answer has; a client gives up one that goes on. */
    private static final int MAX_BYTES = 8 << 20;

    private final InputStream input;

    ShapedInput(InputStream input) {
        this.input = new BufferedInputStream(input, 1 << 16);
    }

    /** Returns whether bytes have arrived that were not read. */
    boolean hasBytes() throws IOException {
        return input.available() > 0;
    }

    /** Reads a line, without its end. */
    String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended after " + line.size() + " bytes of a line");
            }
            line.write(next);
            if (line.size() > MAX_BYTES) {
                throw new IOException("a line of more than " + MAX_BYTES + " bytes");
            }
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }

    /** Reads a head, with the end of its last line but without the blank line. */
    String readHead() throws IOException {
        StringBuilder head = new StringBuilder();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            head.append(line).append("\r\n");
        }
        return head.toString();
    }

    /** Reads a body with a length to its end, or to the end of the connection if the length is negative. */
    void readBytes(int length, ByteArrayOutputStream body) throws IOException {
        byte[] buffer = new byte[8_192];
        int missing = length < 0 ? Integer.MAX_VALUE : length;
        while (missing > 0) {
            int count = input.read(buffer, 0, Math.min(buffer.length, missing));
            if (count < 0 && length < 0) {
                return;
            }
            if (count < 0) {
                throw new EOFException(missing + " bytes are missing");
            }
            body.write(buffer, 0, count);
            if (body.size() > MAX_BYTES) {
                throw new IOException("more than " + MAX_BYTES + " bytes");
            }
            missing -= count;
        }
    }

    /**
     * Reads a chunked body to its end, or until it has a certain size.
     *
     * @param enoughBytes the size
     */
    void readChunks(ByteArrayOutputStream body, int enoughBytes) throws IOException {
        for (int size = Integer.parseInt(readLine(), 16); size > 0; size = Integer.parseInt(readLine(), 16)) {
            if (body.size() >= enoughBytes) {
                return;
            }
            readBytes(size, body);
            if (!readLine().isEmpty()) {
                throw new IOException("a chunk does not end with a line end");
            }
        }
        readLine();
    }
}
