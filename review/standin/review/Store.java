package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's store, as its page describes it, with what the programs use: objects by kind and name, lists and
 * watches. Specifications are kept as the text in which they were written.
 */
class Store extends Listener {

    private record Change(long revision, String kind, String object, boolean removed) {}

    private static final Pattern NAME = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]*)\"");

    private final Map<String, TreeMap<String, String>> kinds = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private long revision = 1;

    Store(String host) throws IOException {
        super(host);
    }

    /** Writes an object; on return the write is acknowledged. */
    synchronized void put(String kind, String name, String spec) {
        revision++;
        String object = "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
                + ",\"created_rev\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
        kinds.computeIfAbsent(kind, unused -> new TreeMap<>()).put(name, object);
        history.add(new Change(revision, kind, object, false));
        notifyAll();
    }

    /** Removes an object; on return the removal is acknowledged. */
    synchronized boolean remove(String kind, String name) {
        String removed = kinds.computeIfAbsent(kind, unused -> new TreeMap<>()).remove(name);
        if (removed != null) {
            revision++;
            history.add(new Change(revision, kind, removed, true));
            notifyAll();
        }
        return removed != null;
    }

    @Override
    boolean serve(Http.Message request, Socket connection) throws IOException, InterruptedException {
        byte[] answer = answer(request);
        connection.getOutputStream().write(answer);
        return true;
    }

    private byte[] answer(Http.Message request) throws InterruptedException {
        String[] target = request.target().split("\\?", 2);
        String[] path = target[0].split("/");
        Map<String, String> query = new HashMap<>();
        for (String pair : (target.length > 1 ? target[1] : "").split("&")) {
            if (pair.contains("=")) {
                query.put(pair.split("=")[0], pair.split("=")[1]);
            }
        }
        String kind = path[2];
        return switch (request.method()) {
            case "POST" -> create(kind, request.text());
            case "PUT" -> {
                put(kind, path[3], spec(request.text()));
                yield json(200, "{}");
            }
            case "DELETE" -> json(remove(kind, path[3]) ? 200 : 404, "{}");
            default ->
                query.containsKey("watch")
                        ? watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait_ms")))
                        : list(kind);
        };
    }

    private synchronized byte[] create(String kind, String object) {
        Matcher name = NAME.matcher(object);
        if (!name.find()) {
            return json(400, "{}");
        }
        if (kinds.getOrDefault(kind, new TreeMap<>()).containsKey(name.group(1))) {
            return json(409, "{}");
        }
        put(kind, name.group(1), spec(object));
        return json(201, "{}");
    }

    /** Returns the part of an object that its writer defines, which the programs write as its last field. */
    private static String spec(String object) {
        int start = object.indexOf("\"spec\":");
        return start < 0 ? "{}" : object.substring(start + "\"spec\":".length(), object.lastIndexOf('}'));
    }

    private synchronized byte[] list(String kind) {
        return json(
                200,
                "{\"items\":[" + String.join(",", kinds.getOrDefault(kind, new TreeMap<>()).values())
                        + "],\"truncated\":false,\"as_of\":" + revision + "}");
    }

    private synchronized byte[] watch(String kind, long after, long waitMs) throws InterruptedException {
        long endNanos = System.nanoTime() + waitMs * 1_000_000;
        while (true) {
            List<String> events = history.stream()
                    .filter(change -> change.revision > after && change.kind.equals(kind))
                    .map(change -> "{\"tombstone\":" + change.removed + ",\"object\":" + change.object + "}")
                    .toList();
            long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMs <= 0) {
                return json(200, "{\"events\":[" + String.join(",", events) + "],\"as_of\":" + revision + "}");
            }
            wait(leftMs);
        }
    }

    private static byte[] json(int status, String body) {
        return Http.encode(
                "HTTP/1.1 " + status + " X",
                Map.of("Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8));
    }
}
