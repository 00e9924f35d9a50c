package org.kingcuproad.emulator.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.runtime.http.HttpExchange;
import org.kingcuproad.runtime.http.Problems;

/** Sends the changes to the open watches. Used on one event loop. */
final class WatchHub {

    private static final int OK = 200;
    private static final int GONE = 410;

    private final ObjectTable objects;
    private final List<OpenWatch> watches = new ArrayList<>();

    WatchHub(ObjectTable objects) {
        this.objects = objects;
    }

    int size() {
        return watches.size();
    }

    void open(HttpExchange exchange, String prefix, long since) {
        if (since > 0 && since < objects.oldestWatchable()) {
            String body = Problems.body(ErrorKind.NOT_FOUND, "changes since " + since + " are no longer kept", "")
                    .put("status", GONE)
                    .toString();
            exchange.respondJson(GONE, body);
            return;
        }
        exchange.start(OK, List.of(Map.entry("Content-Type", "application/x-ndjson")));
        OpenWatch watch = new OpenWatch(exchange, prefix);
        watches.add(watch);
        exchange.onClosed(() -> watches.remove(watch));
        objects.changesSince(prefix, since).forEach(change -> exchange.write(PlatformJson.changeLine(change)));
        exchange.write(PlatformJson.bookmarkLine(objects.version()));
    }

    void publish(ObjectState change) {
        watches.stream()
                .filter(watch -> change.key().startsWith(watch.prefix()))
                .forEach(watch -> watch.exchange().write(PlatformJson.changeLine(change)));
    }

    void sendBookmarks() {
        byte[] line = PlatformJson.bookmarkLine(objects.version());
        watches.forEach(watch -> watch.exchange().write(line.clone()));
    }

    /** Breaks off all watches. */
    void abortAll() {
        List.copyOf(watches).forEach(watch -> watch.exchange().abort());
    }

    /** Sends nothing more on the open connections, without closing them; new watches work. */
    void silenceAll() {
        watches.clear();
    }

    /** A watch whose response is being streamed. */
    private record OpenWatch(HttpExchange exchange, String prefix) {}
}
