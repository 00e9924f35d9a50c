package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A gateway gets SIGTERM while clients read streams on kept connections, one stream after the other. */
public final class Case2 {

    private static final int CLIENTS = 12;
    private static final int EVENTS = 60;
    private static final int EVENT_EVERY_MS = 80;
    private static final long SIGTERM_AT_MS = 12_000;
    private static final long GRACE_MS = 8_000;
    private static final long RUN_MS = SIGTERM_AT_MS + GRACE_MS + 2_000;

    /** The rule leaves out requests that are sent no later than this after SIGTERM and run near the end. */
    private static final long LEFT_OUT_MS = 3_000;

    private static Rig rig;
    private static Rig.Program gateway;
    private static long startMs;
    private static volatile long sigtermMs = Long.MAX_VALUE;
    private static final Set<String> PASSED_ON = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger WHOLE = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger LEFT_OUT = new AtomicInteger();

    private Case2() {}

    public static void main(String[] arguments) throws Exception {
        rig = new Rig(Path.of(arguments[0]));
        Store store = rig.keep(new Store(rig.network + "2.1"));
        store.start();
        store.put(
                "config",
                "main",
                Deployment.configuration(
                        3,
                        List.of(Deployment.route("/draft/", "streaming", Deployment.MODELS, 8_000, 400, 2)),
                        List.of(Rig.KEY)));
        Deployment.servers(rig, store, 4, Deployment.MODELS, 6, Case2::serve);
        gateway = rig.gateway("gateway-1", 1, store);
        rig.awaitReady(gateway);
        startMs = rig.nowMs();
        Thread[] clients = new Thread[CLIENTS];
        for (int number = 0; number < CLIENTS; number++) {
            String name = "client-" + number;
            long delayMs = (long) number * EVENTS * EVENT_EVERY_MS / CLIENTS;
            clients[number] = Thread.ofVirtual().start(() -> run(name, delayMs));
        }
        Thread.sleep(SIGTERM_AT_MS);
        if (rig.trouble) {
            sigtermMs = rig.nowMs();
            rig.note("the gateway gets SIGTERM");
            gateway.signal("TERM");
            for (long left = GRACE_MS; left > 0 && gateway.alive(); left -= 20) {
                Thread.sleep(20);
            }
            rig.note(gateway.alive() ? "the gateway gets SIGKILL" : "the gateway has ended by itself");
            if (gateway.alive()) {
                gateway.signal("KILL");
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        String counts = WHOLE + " whole streams, " + LOST + " lost, " + LEFT_OUT
                + " cut that the rule leaves out (sent no later than 3 s after SIGTERM)";
        if (WHOLE.get() < CLIENTS) {
            rig.finish(2, "could not run: " + counts);
        }
        boolean broken = LOST.get() > 0;
        rig.finish(broken ? 1 : 0, (broken ? "LOST broken: " : "held: ") + counts);
    }

    private static boolean serve(Deployment.Server server, Http.Message request, Socket connection)
            throws IOException, InterruptedException {
        String id = request.header("kingcuproad-attempt-id");
        PASSED_ON.add(id);
        rig.note("server " + server.id + " runs " + id);
        OutputStream out = connection.getOutputStream();
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nKingcuproad-Attempt-Id: " + id
                        + "\r\nKingcuproad-Server-Seal: " + server.seal() + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
        String resumed = request.header("last-event-id");
        int first = resumed.isEmpty() ? 1 : Integer.parseInt(resumed) + 1;
        for (int event = first; event <= EVENTS; event++) {
            Thread.sleep(EVENT_EVERY_MS);
            byte[] piece = ("id: " + event + "\ndata: piece " + event + " of " + id + "\n\n")
                    .getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(piece.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
            out.write(piece);
            out.write("\r\n".getBytes(StandardCharsets.UTF_8));
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        return true;
    }

    /** Reads one stream after the other on a kept connection, until the connection ends. */
    private static void run(String name, long delayMs) {
        String id = "";
        long sentMs = 0;
        int events = 0;
        try {
            Thread.sleep(delayMs);
            try (Rig.Client client = new Rig.Client(gateway.front, 2_000)) {
                for (int count = 0; rig.nowMs() < startMs + RUN_MS; count++) {
                    id = name + "-" + count;
                    events = 0;
                    client.send(
                            "POST",
                            "/draft/x",
                            id,
                            8_000,
                            Map.of("Kingcuproad-Model", "m", "Kingcuproad-Token-Count", "700,300"),
                            "prompt".getBytes(StandardCharsets.UTF_8));
                    sentMs = rig.nowMs();
                    Http.Message head = Http.readHead(client.in);
                    if (head == null || head.status() != 200) {
                        rig.note("client: " + id + (head == null ? " is closed unanswered" : " gets " + head.status()));
                        judge(id, sentMs, head != null);
                        return;
                    }
                    for (byte[] chunk = Http.readChunk(client.in); chunk.length > 0; ) {
                        events += new String(chunk, StandardCharsets.UTF_8).contains("data:") ? 1 : 0;
                        chunk = Http.readChunk(client.in);
                    }
                    WHOLE.incrementAndGet();
                    rig.note("client: " + id + " is whole after " + (rig.nowMs() - sentMs) + " ms");
                    if (head.header("connection").equalsIgnoreCase("close")) {
                        return;
                    }
                }
            } catch (IOException ended) {
                rig.note("client: " + id + ", sent " + (sentMs - sigtermMs) + " ms after SIGTERM, ends after "
                        + (rig.nowMs() - sentMs) + " ms and " + events + " events: " + ended.getMessage());
                judge(id, sentMs, false);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Judges a request whose connection ended, by the rule LOST. */
    private static void judge(String id, long sentMs, boolean answered) {
        if (answered || !PASSED_ON.contains(id)) {
            return;
        }
        if (sentMs - sigtermMs > LEFT_OUT_MS) {
            LOST.incrementAndGet();
        } else {
            LEFT_OUT.incrementAndGet();
        }
    }
}
