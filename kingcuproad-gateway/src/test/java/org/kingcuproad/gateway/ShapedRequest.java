package org.kingcuproad.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.random.RandomGenerator;
import org.kingcuproad.policy.gateway.RouteKind;

/**
 * A request of a client, which follows from a seed and its number.
 *
 * @param chunkBytes size of the body's chunks in bytes, 0 for a body with a length
 * @param headBytes size of a header that only makes the head longer, in bytes
 * @param deadlineMs time that the client will wait in milliseconds, 0 if it does not say
 * @param close whether the client asks for the end of the connection
 * @param pauseMs time before the request, and again inside its body, in milliseconds
 * @param leaveAfterBytes number of bytes of the response after which the client leaves, -1 if it stays
 * @param readPauseMs time for which the client does not read after the head of the response, in milliseconds
 * @param events number of events of the stream that the request asks for
 * @param eventIds whether the events have ids
 */
record ShapedRequest(
        long seed,
        int number,
        RouteKind kind,
        String method,
        int bodyBytes,
        int chunkBytes,
        int headBytes,
        long deadlineMs,
        boolean close,
        long pauseMs,
        int leaveAfterBytes,
        long readPauseMs,
        int events,
        boolean eventIds) {

    private static final int MAX_EVENTS = 40;

    /** Leaves room for the other headers within the gateway's limit of 8,192 bytes. */
    private static final int MAX_HEAD_BYTES = 7_700;

    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.UTF_8);

    static ShapedRequest draw(long seed, int number) {
        RandomGenerator random = ShapedDraws.random(seed, number);
        RouteKind kind = switch (random.nextInt(10)) {
            case 0, 1, 2 -> RouteKind.IDEMPOTENT;
            case 3, 4, 5 -> RouteKind.NON_IDEMPOTENT;
            default -> RouteKind.STREAMING;
        };
        boolean read = kind == RouteKind.IDEMPOTENT && ShapedDraws.chance(random, 0.7);
        int bodyBytes = read ? 0 : ShapedDraws.bodyBytes(random, 0.06);
        boolean chunked = bodyBytes > 0 && ShapedDraws.chance(random, 0.4);
        return new ShapedRequest(
                seed,
                number,
                kind,
                !read ? "POST" : ShapedDraws.chance(random, 0.1) ? "HEAD" : "GET",
                bodyBytes,
                chunked ? ShapedDraws.chunkBytes(random, bodyBytes) : 0,
                ShapedDraws.chance(random, 0.1) ? random.nextInt(MAX_HEAD_BYTES) : 0,
                ShapedDraws.chance(random, 0.3) ? random.nextLong(200, 1_500) : 0,
                ShapedDraws.chance(random, 0.1),
                ShapedDraws.chance(random, 0.2) ? random.nextLong(30) : 0,
                ShapedDraws.chance(random, 0.04) ? random.nextInt(20_000) : -1,
                ShapedDraws.chance(random, 0.04) ? random.nextLong(300) : 0,
                ShapedDraws.chance(random, 0.05) ? 0 : random.nextInt(1, MAX_EVENTS),
                ShapedDraws.chance(random, 0.92));
    }

    /** Returns the request with the id, or draws it again, since it follows from the id. */
    static ShapedRequest ofId(String id) {
        String[] parts = id.split("-");
        return draw(Long.parseLong(parts[0]), Integer.parseInt(parts[1]));
    }

    String id() {
        return seed + "-" + number;
    }

    String target() {
        return "/" + kind + "/" + id();
    }

    byte[] body() {
        return ShapedDraws.pattern("request " + id(), bodyBytes);
    }

    byte[] head() {
        return (method + " " + target() + " HTTP/1.1\r\nHost: office.example\r\nX-Request: " + id()
                        + "\r\nX-Key: k1\r\n"
                        + (deadlineMs > 0 ? "X-Deadline: " + deadlineMs + "\r\n" : "")
                        + (close ? "Connection: close\r\n" : "")
                        + (headBytes > 0 ? "X-Pad: " + "p".repeat(headBytes) + "\r\n" : "")
                        + (chunkBytes > 0 ? "Transfer-Encoding: chunked\r\n\r\n" : "Content-Length: " + bodyBytes)
                        + (chunkBytes > 0 ? "" : "\r\n\r\n"))
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the body as it is sent. */
    byte[] framedBody() {
        if (chunkBytes == 0) {
            return body();
        }
        ByteArrayOutputStream framed = new ByteArrayOutputStream();
        framed.writeBytes(ShapedChunks.of(body(), chunkBytes));
        framed.writeBytes(LAST_CHUNK);
        return framed.toByteArray();
    }
}
