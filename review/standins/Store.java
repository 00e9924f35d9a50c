import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in for the platform's store: objects by kind and name, listings, watches, and conditionless writes. */
final class Store implements AutoCloseable {

    private static final Pattern NAME = Pattern.compile("\"name\"\\s*:\\s*\"([^\"]*)\"");

    private record Stored(String name, String spec, long revision) {

        String json() {
            return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision + ",\"created_rev\":" + revision
                    + ",\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
        }
    }

    private record Change(String kind, Stored object, boolean tombstone) {}

    /** An address of the store, at which it may fall silent for those that use it while it serves others. */
    final class Gate {

        private final ServerSocket listener = new ServerSocket();
        private volatile boolean silent;
        private volatile long lastRegisterCallMs;

        private Gate(InetAddress address) throws IOException {
            listener.bind(new InetSocketAddress(address, 0), 200);
            Thread.startVirtualThread(this::accept);
        }

        InetSocketAddress address() {
            return (InetSocketAddress) listener.getLocalSocketAddress();
        }

        /** Sets whether calls are left unanswered. Those that were, stay so. */
        void setSilent(boolean now) {
            silent = now;
        }

        /** Returns the time of the last call that reads the servers, in Unix milliseconds. */
        long lastRegisterCallMs() {
            return lastRegisterCallMs;
        }

        private void accept() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    Thread.startVirtualThread(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                Http.Input in = new Http.Input(socket.getInputStream());
                boolean answered = true;
                for (Http.Message request = in.readRequest(); request != null; request = in.readRequest()) {
                    if (request.head().target().startsWith("/objects/servers")) {
                        lastRegisterCallMs = System.currentTimeMillis();
                    }
                    answered &= !silent;
                    String answer = answered ? respond(request) : "";
                    // A watch may have begun before the silence.
                    answered &= !silent;
                    if (answered) {
                        socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                    }
                }
            } catch (IOException | InterruptedException ended) {
                // The caller closed the connection.
            }
        }
    }

    private final Gate gate;
    private final List<Gate> gates = new ArrayList<>();
    private final Map<String, Map<String, Stored>> kinds = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long revision = 1;

    Store(InetAddress address) throws IOException {
        gate = openGate(address);
    }

    /** Opens a further address. */
    Gate openGate(InetAddress address) throws IOException {
        Gate opened = new Gate(address);
        gates.add(opened);
        return opened;
    }

    InetSocketAddress address() {
        return gate.address();
    }

    /** Writes an object and returns when the write is acknowledged. */
    synchronized void put(String kind, String name, String spec) {
        Stored stored = new Stored(name, spec, ++revision);
        kinds.computeIfAbsent(kind, unused -> new TreeMap<>()).put(name, stored);
        changes.add(new Change(kind, stored, false));
        notifyAll();
    }

    synchronized boolean remove(String kind, String name) {
        Stored former = kinds.computeIfAbsent(kind, unused -> new TreeMap<>()).remove(name);
        if (former != null) {
            changes.add(new Change(kind, new Stored(name, former.spec, ++revision), true));
            notifyAll();
        }
        return former != null;
    }

    private String respond(Http.Message request) throws InterruptedException {
        String[] target = request.head().target().split("\\?", 2);
        String[] path = target[0].split("/");
        String query = target.length > 1 ? target[1] : "";
        String kind = path[2];
        String text = request.text();
        return switch (request.head().method()) {
            case "GET" -> message(200, query.contains("watch=") ? watch(kind, query) : list(kind, query));
            case "POST" -> create(kind, text);
            case "PUT" -> {
                put(kind, path[3], spec(text));
                yield message(200, "{}");
            }
            case "DELETE" -> message(remove(kind, path[3]) ? 200 : 404, "{}");
            default -> message(400, "{}");
        };
    }

    private synchronized String create(String kind, String text) {
        Matcher name = NAME.matcher(text);
        if (!name.find() || kinds.getOrDefault(kind, Map.of()).containsKey(name.group(1))) {
            return message(409, "{}");
        }
        put(kind, name.group(1), spec(text));
        return message(201, "{}");
    }

    private static String spec(String text) {
        return text.substring(text.indexOf("\"spec\":") + "\"spec\":".length(), text.length() - 1);
    }

    private synchronized String list(String kind, String query) {
        List<String> items = query.contains("after=")
                ? List.of()
                : kinds.getOrDefault(kind, Map.of()).values().stream().map(Stored::json).toList();
        return "{\"items\":[" + String.join(",", items) + "],\"truncated\":false,\"as_of\":" + revision + "}";
    }

    private synchronized String watch(String kind, String query) throws InterruptedException {
        long from = number(query, "watch");
        long endMs = System.currentTimeMillis() + number(query, "wait_ms");
        while (true) {
            List<String> events = changes.stream()
                    .filter(change -> change.object.revision > from && change.kind.equals(kind))
                    .map(change -> "{\"object\":" + change.object.json() + ",\"tombstone\":" + change.tombstone + "}")
                    .toList();
            long leftMs = endMs - System.currentTimeMillis();
            if (!events.isEmpty() || leftMs <= 0) {
                return "{\"events\":[" + String.join(",", events) + "],\"as_of\":" + revision + "}";
            }
            wait(leftMs);
        }
    }

    private static long number(String query, String name) {
        Matcher matcher = Pattern.compile(name + "=(\\d+)").matcher(query);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    private static String message(int status, String json) {
        return "HTTP/1.1 " + status + " S\r\nContent-Type: application/json\r\nContent-Length: "
                + json.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + json;
    }

    @Override
    public void close() throws IOException {
        for (Gate open : gates) {
            open.listener.close();
        }
    }
}
