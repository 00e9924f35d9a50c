package org.kingcuproad.gateway;

import java.nio.charset.StandardCharsets;
import java.util.random.RandomGenerator;
import org.kingcuproad.policy.gateway.RouteKind;

/** Bytes that an upstream in trouble sends until the gateway closes the connection. */
enum ShapedFlood {
    NONE("", ""),
    LINE_ENDS("Content-Type: text/event-stream\r\n\r\n", "\n"),
    COMMENTS("Content-Type: text/event-stream\r\n\r\n", ": keep\n\n"),
    SMALL_CHUNKS("Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"),
    INFORMATIONAL("\r\nHTTP/1.1 102 X\r\n\r\n", "HTTP/1.1 102 X\r\n\r\n"),
    HEAD("", "X-Endless: x\r\n");

    private static final int WRITE_BYTES = 64 << 10;

    private final String begin;
    private final String unit;

    ShapedFlood(String begin, String unit) {
        this.begin = begin;
        this.unit = unit;
    }

    /** Draws a flood; those that an event stream can have are more frequent where one is expected. */
    static ShapedFlood draw(RandomGenerator random, RouteKind kind) {
        return kind == RouteKind.STREAMING && ShapedDraws.chance(random, 0.6)
                ? (ShapedDraws.chance(random, 0.5) ? LINE_ENDS : COMMENTS)
                : values()[random.nextInt(1, values().length)];
    }

    /** Returns whether the flood comes as an event stream. */
    boolean isStream() {
        return begin.contains("text/event-stream");
    }

    byte[] begin() {
        return begin.getBytes(StandardCharsets.UTF_8);
    }

    byte[] part() {
        return unit.repeat(WRITE_BYTES / unit.length()).getBytes(StandardCharsets.UTF_8);
    }
}
