package org.kingcuproad.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Writes bytes as chunks of a chunked body. */
final class ShapedChunks {

    private ShapedChunks() {}

    static byte[] of(byte[] bytes, int chunkBytes) {
        ByteArrayOutputStream chunks = new ByteArrayOutputStream();
        for (int start = 0; start < bytes.length; start += chunkBytes) {
            int length = Math.min(chunkBytes, bytes.length - start);
            chunks.writeBytes((Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.UTF_8));
            chunks.write(bytes, start, length);
            chunks.writeBytes("\r\n".getBytes(StandardCharsets.UTF_8));
        }
        return chunks.toByteArray();
    }
}
