package org.kingcuproad.gateway;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Short texts in datagrams between gateways: one byte for the length, then UTF-8. */
final class DatagramText {

    private static final int MAX_BYTES = 255;

    private DatagramText() {}

    static void write(ByteBuf message, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        int length = Math.min(bytes.length, MAX_BYTES);
        message.writeByte(length);
        message.writeBytes(bytes, 0, length);
    }

    /**
     * Reads a text.
     *
     * @throws IndexOutOfBoundsException if the message is truncated
     */
    static String read(ByteBuf message) {
        return message.readCharSequence(message.readUnsignedByte(), StandardCharsets.UTF_8)
                .toString();
    }
}
