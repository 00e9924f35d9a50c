package org.kingcuproad.gateway;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.kingcuproad.policy.gateway.ResponseFraming;
import org.kingcuproad.policy.gateway.RouteKind;

/**
 * What an upstream answers to one run of a request, which follows from the request and the number of the run.
 *
 * @param headShape what becomes of the head
 * @param notRun whether the upstream rejects the request
 * @param bodyBytes size of the body in bytes, unless it is a stream
 * @param document whether the body is a JSON document, unless it is a stream
 * @param chunkBytes size of the body's chunks, in bytes
 * @param headBytes size of a header that only makes the head longer, in bytes
 * @param informational number of informational heads before the head
 * @param delayMs time before the head, in milliseconds
 * @param pauseMs time between two parts of the body, in milliseconds
 * @param cutAt share of the response after which it is cut
 * @param cutPoint where it is cut
 * @param early whether it is sent before the body of the request has been read
 * @param close whether the connection ends after the response
 * @param events events of a stream; empty for other bodies
 */
record ShapedResponse(
        ShapedRequest request,
        int run,
        int status,
        ShapedHead headShape,
        boolean notRun,
        ResponseFraming framing,
        int bodyBytes,
        boolean document,
        int chunkBytes,
        int headBytes,
        int informational,
        long delayMs,
        long pauseMs,
        ShapedCut cut,
        double cutAt,
        ShapedCutPoint cutPoint,
        boolean early,
        boolean close,
        ShapedFlood flood,
        Optional<ShapedStutter> stutter,
        Optional<List<ShapedEvent>> events) {

    /** Leaves room for the other headers within the 8,192 bytes that the gateway accepts. */
    private static final int MAX_HEAD_BYTES = 7_700;

    private static final int[] FAILURES = {500, 503, 504, 404};
    private static final ShapedCutPoint[] CUT_POINTS = {
        ShapedCutPoint.HEAD, ShapedCutPoint.BOUNDARY, ShapedCutPoint.BOUNDARY, ShapedCutPoint.ANYWHERE
    };
    private static final int[] REJECTIONS = {503, 503, 503, 503, 429, 429, 429, 421};

    static ShapedResponse draw(ShapedRequest request, int run, long lastEventId) {
        RandomGenerator random = ShapedDraws.random(request.seed(), request.number(), run);
        int kind = random.nextInt(100);
        boolean notRun = kind < 8;
        boolean failure = !notRun && kind < 20;
        int status = notRun
                ? REJECTIONS[random.nextInt(REJECTIONS.length)]
                : failure ? FAILURES[random.nextInt(FAILURES.length)] : ShapedDraws.chance(random, 0.02) ? 204 : 200;
        boolean stream =
                status == 200 && request.kind() == RouteKind.STREAMING && (run > 1 || ShapedDraws.chance(random, 0.9));
        ResponseFraming framing = request.method().equals("HEAD") || status == 204
                ? ResponseFraming.NO_BODY
                : ResponseFraming.values()[new int[] {0, 0, 1, 1, 3}[random.nextInt(5)]];
        int bodyBytes = ShapedDraws.bodyBytes(random, status == 200 ? 0.2 : 0);
        ShapedCut cut = ShapedDraws.chance(random, 0.75)
                ? ShapedCut.NONE
                : ShapedCut.values()[new int[] {1, 1, 1, 1, 1, 1, 2, 2, 2, 3}[random.nextInt(10)]];
        ShapedCutPoint cutPoint = CUT_POINTS[random.nextInt(CUT_POINTS.length)];
        ShapedFlood flood = status == 200 && kind >= 98 && framing != ResponseFraming.NO_BODY
                ? ShapedFlood.draw(random, request.kind())
                : ShapedFlood.NONE;
        ShapedHead headShape = flood == ShapedFlood.NONE && ShapedDraws.chance(random, 0.05)
                ? ShapedHead.values()[random.nextInt(1, ShapedHead.values().length)]
                : ShapedHead.PROPER;
        long firstId = ShapedDraws.chance(random, 0.1)
                ? 1
                : ShapedDraws.chance(random, 0.08) ? request.events() + 1L : lastEventId + 1;
        return new ShapedResponse(
                request,
                run,
                status,
                headShape,
                notRun,
                framing,
                bodyBytes,
                ShapedDraws.chance(random, 0.5),
                ShapedDraws.chunkBytes(random, stream ? 4_096 : bodyBytes),
                ShapedDraws.chance(random, 0.08) ? random.nextInt(MAX_HEAD_BYTES) : 0,
                ShapedDraws.chance(random, 0.08) ? random.nextInt(1, 4) : 0,
                ShapedDraws.chance(random, 0.05) ? random.nextLong(600) : random.nextLong(5),
                ShapedDraws.chance(random, 0.3) ? random.nextLong(60) : 0,
                cut,
                cutPoint == ShapedCutPoint.BOUNDARY && ShapedDraws.chance(random, 0.2) ? 0 : random.nextDouble(),
                cutPoint,
                ShapedDraws.chance(random, 0.1),
                ShapedDraws.chance(random, 0.05),
                flood,
                ShapedDraws.chance(random, 0.15) ? Optional.of(ShapedStutter.draw(random, status)) : Optional.empty(),
                stream
                        ? Optional.of(ShapedEvent.draw(
                                random, seal(request, run), run == 1 ? lastEventId + 1 : firstId, request))
                        : Optional.empty());
    }

    private static String seal(ShapedRequest request, int run) {
        return request.id() + "#" + run;
    }

    /** Returns the seal, which no other run has. */
    String seal() {
        return seal(request, run);
    }

    boolean successful() {
        return status / 100 == 2;
    }

    /** Returns whether the response says that it is an event stream. */
    boolean isStream() {
        return flood == ShapedFlood.NONE ? events.isPresent() : flood.isStream();
    }

    /** Returns the whole body, without its framing. */
    byte[] body() {
        if (framing == ResponseFraming.NO_BODY) {
            return new byte[0];
        }
        if (events.isEmpty()) {
            return document ? ShapedDraws.document(seal(), bodyBytes) : ShapedDraws.pattern(seal(), bodyBytes);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        events.get().forEach(event -> body.writeBytes(event.bytes()));
        return body.toByteArray();
    }

    /** Returns whether the protocol doesn't have the head. */
    boolean improper() {
        return !headShape.of(properHead()).equals(properHead());
    }

    String head() {
        return "HTTP/1.1 102 X\r\n\r\n".repeat(informational) + headShape.of(properHead());
    }

    private String properHead() {
        return "HTTP/1.1 " + status + " X\r\nX-Request: " + request.id() + "\r\nX-Seal: " + seal() + "\r\n"
                + (notRun ? "X-Not-Run: 1\r\n" : "")
                + (headBytes > 0 ? "X-Pad: " + "p".repeat(headBytes) + "\r\n" : "")
                + (close ? "Connection: close\r\n" : "")
                + "Content-Type: " + (events.isPresent() ? "text/event-stream" : "application/json") + "\r\n"
                + switch (framing) {
                    case LENGTH -> "Content-Length: " + body().length + "\r\n\r\n";
                    case CHUNKS -> "Transfer-Encoding: chunked\r\n\r\n";
                    case CONNECTION, NO_BODY -> "\r\n";
                };
    }

    /** Returns whether the connection can be used again. */
    boolean keepsConnection() {
        return !close && framing != ResponseFraming.CONNECTION;
    }
}
