package org.kingcuproad.gateway;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Splits the bytes of an event stream independently of the gateway. */
final class ShapedEvents {

    private ShapedEvents() {}

    /** Returns the events, each with its last blank line and without any before it, and then what follows them. */
    static List<String> split(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.UTF_8);
        List<String> events = new ArrayList<>();
        int start = 0;
        int lineStart = 0;
        boolean content = false;
        for (int lineEnd = text.indexOf('\n'); lineEnd >= 0; lineEnd = text.indexOf('\n', lineStart)) {
            boolean blank = text.substring(lineStart, lineEnd).isBlank();
            lineStart = lineEnd + 1;
            if (!blank) {
                content = true;
            } else if (content) {
                events.add(text.substring(start, lineStart).replaceFirst("^[\r\n]+", ""));
                start = lineStart;
                content = false;
            }
        }
        events.add(text.substring(start));
        return events;
    }

    /** Returns whether an event only keeps the connection open. */
    static boolean isComment(String event) {
        return event.lines().allMatch(line -> line.isBlank() || line.startsWith(":"));
    }

    /** Returns the id of an event, 0 if it has none. */
    static long id(String event) {
        return event.lines()
                .filter(line -> line.startsWith("id: "))
                .mapToLong(line -> Long.parseLong(line.substring("id: ".length())))
                .findFirst()
                .orElse(0);
    }
}
