package org.kingcuproad.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.kingcuproad.policy.gateway.ResponseFraming;

/**
 * Bytes of a response that are written at once.
 *
 * @param bytes the bytes
 * @param bodyBytes number of bytes of the body that they hold
 * @param delayMs time before they are written, in milliseconds
 */
@SuppressWarnings("ArrayRecordComponent")
record ShapedPart(byte[] bytes, int bodyBytes, long delayMs) {

    /** Splits a response into parts. */
    static List<ShapedPart> of(ShapedResponse response) {
        List<ShapedPart> parts = new ArrayList<>();
        parts.add(new ShapedPart(response.head().getBytes(StandardCharsets.UTF_8), 0, response.delayMs()));
        if (response.framing() == ResponseFraming.NO_BODY) {
            return parts;
        }
        if (response.events().isPresent()) {
            ByteArrayOutputStream together = new ByteArrayOutputStream();
            for (ShapedEvent event : response.events().get()) {
                if (event.delayMs() > 0) {
                    add(parts, response, together.toByteArray(), 0);
                    together.reset();
                    add(parts, response, event.bytes(), event.delayMs());
                } else {
                    together.writeBytes(event.bytes());
                }
            }
            add(parts, response, together.toByteArray(), 0);
        } else {
            byte[] body = response.body();
            int middle = body.length / 2;
            add(parts, response, Arrays.copyOfRange(body, 0, middle), 0);
            add(parts, response, Arrays.copyOfRange(body, middle, body.length), response.pauseMs());
        }
        if (response.framing() == ResponseFraming.CHUNKS) {
            parts.add(new ShapedPart("0\r\n\r\n".getBytes(StandardCharsets.UTF_8), 0, 0));
        }
        return parts;
    }

    private static void add(List<ShapedPart> parts, ShapedResponse response, byte[] body, long delayMs) {
        if (body.length > 0) {
            byte[] bytes =
                    response.framing() == ResponseFraming.CHUNKS ? ShapedChunks.of(body, response.chunkBytes()) : body;
            parts.add(new ShapedPart(bytes, body.length, delayMs));
        }
    }

    /** Returns the first bytes of the part. */
    ShapedPart first(int length) {
        return new ShapedPart(Arrays.copyOf(bytes, length), Math.min(length, bodyBytes), delayMs);
    }
}
