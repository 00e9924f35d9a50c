package org.kingcuproad.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * An event of a stream, or a comment.
 *
 * @param id id of the event, 0 if it has none
 * @param text its lines, with the blank line that ends it
 * @param delayMs time before the event, in milliseconds
 */
record ShapedEvent(long id, String text, long delayMs) {

    private static final int LARGE_EVENT_BYTES = 60_000;

    byte[] bytes() {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Draws the events that a run sends, each of which names the run unless it is empty. */
    static List<ShapedEvent> draw(RandomGenerator random, String seal, long firstId, ShapedRequest request) {
        long intervalMs =
                ShapedDraws.chance(random, 0.5) ? 0 : random.nextLong(ShapedDraws.chance(random, 0.2) ? 80 : 8);
        String lineEnd = ShapedDraws.chance(random, 0.1) ? "\r\n" : "\n";
        List<ShapedEvent> events = new ArrayList<>();
        for (long id = firstId; id <= request.events(); id++) {
            if (ShapedDraws.chance(random, 0.1)) {
                events.add(new ShapedEvent(0, (":" + lineEnd).repeat(random.nextInt(1, 3)) + lineEnd, intervalMs));
            }
            long delayMs = ShapedDraws.chance(random, 0.005) ? random.nextLong(500, 1_000) : intervalMs;
            events.add(new ShapedEvent(
                    request.eventIds() ? id : 0,
                    (request.eventIds() ? "id: " + id + lineEnd : "")
                            + data(random, seal, request.eventIds(), lineEnd)
                            + lineEnd,
                    delayMs));
        }
        return List.copyOf(events);
    }

    private static String data(RandomGenerator random, String seal, boolean mayBeEmpty, String lineEnd) {
        int size = switch (random.nextInt(20)) {
            case 0 -> 0;
            case 1 -> random.nextInt(LARGE_EVENT_BYTES);
            default -> random.nextInt(1, 200);
        };
        return size == 0 && mayBeEmpty ? "" : "data: " + seal + " " + "d".repeat(size) + lineEnd;
    }
}
