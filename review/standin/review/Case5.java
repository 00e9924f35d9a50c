package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** One part of long prompts crashes each server that begins to write an answer on it. */
public final class Case5 {

    private static final int SERVERS = 6;
    /** Number of parts of a prompt; another number is tried with the variable PARTS. */
    private static final int PARTS = Integer.parseInt(System.getenv().getOrDefault("PARTS", "20"));

    private static final int SOUND_CLIENTS = 8;
    private static final long RUN_MS = 40_000;
    private static final long BAD_FROM_MS = 5_000;
    private static final long BAD_EVERY_MS = 1_500;
    private static final long DOWN_MS = 3_000;
    private static final long STABLE_WINDOW_MS = 3_000;
    private static final int CRASHES_BEFORE = 5;
    private static final int ALLOWED_AFTER = 3;
    private static final int EVENTS = 10;
    /** Id of the part that crashes servers; another one is tried with the variable PART. */
    private static final String BAD_PART = System.getenv().getOrDefault("PART", "bad0bad0");

    private static Rig rig;
    private static Store store;

    /** Place of the part that crashes servers, counted from 1; another place is tried with the variable PLACE. */
    private static final int BAD_PLACE =
            Integer.parseInt(System.getenv().getOrDefault("PLACE", "18"));

    private static final List<Long> CRASHES_MS = new CopyOnWriteArrayList<>();
    private static final List<Long> BAD_ARRIVALS_MS = new CopyOnWriteArrayList<>();
    private static final AtomicInteger SOUND_WHOLE = new AtomicInteger();
    private static final AtomicInteger SOUND_LOST = new AtomicInteger();

    private Case5() {}

    public static void main(String[] arguments) throws Exception {
        rig = new Rig(Path.of(arguments[0]));
        store = rig.keep(new Store(rig.network + "2.1"));
        store.start();
        store.put(
                "config",
                "main",
                Deployment.configuration(
                        3,
                        List.of(Deployment.route("/draft/", "streaming", Deployment.MODELS, 8_000, 400, 2)),
                        List.of(Rig.KEY)));
        Deployment.servers(rig, store, 4, Deployment.MODELS, SERVERS, Case5::serve);
        List<Rig.Program> gateways = new ArrayList<>();
        for (int number = 1; number <= 2; number++) {
            gateways.add(rig.gateway("gateway-" + number, number, store));
        }
        for (Rig.Program gateway : gateways) {
            rig.awaitReady(gateway);
        }
        long startMs = rig.nowMs();
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < SOUND_CLIENTS; number++) {
            String name = "sound-" + number;
            Rig.Program gateway = gateways.get(number % gateways.size());
            clients.add(Thread.ofVirtual().start(() -> {
                for (int count = 0; rig.nowMs() < startMs + RUN_MS; count++) {
                    call(gateway, name + "-" + count, false);
                    pause(200);
                }
            }));
        }
        if (rig.trouble) {
            clients.add(Thread.ofVirtual().start(() -> {
                pause(BAD_FROM_MS);
                for (int count = 0; rig.nowMs() < startMs + RUN_MS; count++) {
                    String id = "bad-" + count;
                    Rig.Program gateway = gateways.get(count % gateways.size());
                    Thread.ofVirtual().start(() -> call(gateway, id, true));
                    pause(BAD_EVERY_MS);
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        long boundMs = CRASHES_MS.size() < CRASHES_BEFORE
                ? Long.MAX_VALUE
                : CRASHES_MS.get(CRASHES_BEFORE - 1) + STABLE_WINDOW_MS;
        long after = BAD_ARRIVALS_MS.stream().filter(atMs -> atMs > boundMs).count();
        String counts = CRASHES_MS.size() + " crashes, " + BAD_ARRIVALS_MS.size()
                + " requests with the part reached servers, " + after + " of them later than " + STABLE_WINDOW_MS
                + " ms after the fifth crash; sound streams: " + SOUND_WHOLE + " whole, " + SOUND_LOST + " not";
        if (SOUND_WHOLE.get() < 100) {
            rig.finish(2, "could not run: " + counts);
        }
        boolean broken = after > ALLOWED_AFTER;
        rig.finish(broken ? 1 : 0, (broken ? "BUDGET broken: " : "held: ") + counts);
    }

    private static boolean serve(Deployment.Server server, Http.Message request, Socket connection)
            throws IOException, InterruptedException {
        String id = request.header("kingcuproad-attempt-id");
        boolean bad = request.header("kingcuproad-prompt-prefix").contains(BAD_PART);
        if (bad) {
            BAD_ARRIVALS_MS.add(rig.nowMs());
        }
        rig.note("server " + server.id + " runs " + id + (bad ? ", which has the part that crashes it" : ""));
        Thread.sleep(60);
        OutputStream out = connection.getOutputStream();
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nKingcuproad-Attempt-Id: " + id
                        + "\r\nKingcuproad-Server-Seal: " + server.seal() + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
        if (bad) {
            crash(server, id);
            return false;
        }
        String resumed = request.header("last-event-id");
        int first = resumed.isEmpty() ? 1 : Integer.parseInt(resumed) + 1;
        for (int event = first; event <= EVENTS; event++) {
            byte[] piece = ("id: " + event + "\ndata: piece " + event + " of " + id + "\n\n")
                    .getBytes(StandardCharsets.UTF_8);
            out.write((Integer.toHexString(piece.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
            out.write(piece);
            out.write("\r\n".getBytes(StandardCharsets.UTF_8));
            Thread.sleep(30);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        return true;
    }

    /** Ends the server and starts it again some seconds later, with a new time of birth. */
    private static void crash(Deployment.Server server, String id) {
        CRASHES_MS.add(rig.nowMs());
        rig.note("server " + server.id + " crashes on " + id);
        server.crash();
        Thread.ofVirtual().start(() -> {
            pause(DOWN_MS);
            try {
                server.born = System.currentTimeMillis();
                server.restart();
                store.put("servers", server.id, server.entry("ready"));
                rig.note("server " + server.id + " is back");
            } catch (IOException failed) {
                rig.note("server " + server.id + " can't start again: " + failed.getMessage());
            }
        });
    }

    /** Returns the prompt of a request: all parts but the bad one and the last are shared by all requests. */
    private static String prompt(String id, boolean bad) {
        StringBuilder prompt = new StringBuilder();
        for (int place = 1; place < PARTS; place++) {
            String part = bad && place == BAD_PLACE ? BAD_PART : String.format("5c1e%04x", place);
            prompt.append(part).append(":40,");
        }
        return prompt + String.format("%08x", id.hashCode()) + ":100";
    }

    private static void call(Rig.Program gateway, String id, boolean bad) {
        String outcome;
        try (Rig.Client client = new Rig.Client(gateway.front, 2_000)) {
            client.send(
                    "POST",
                    "/draft/x",
                    id,
                    8_000,
                    Map.of(
                            "Kingcuproad-Model", "m",
                            "Kingcuproad-Token-Count", "860,50",
                            "Kingcuproad-Prompt-Prefix", prompt(id, bad)),
                    "prompt".getBytes(StandardCharsets.UTF_8));
            Http.Message head = Http.readHead(client.in);
            outcome = head == null ? "closed" : "status " + head.status();
            if (head != null && head.status() == 200) {
                StringBuilder text = new StringBuilder();
                for (byte[] chunk = Http.readChunk(client.in); chunk.length > 0; chunk = Http.readChunk(client.in)) {
                    text.append(new String(chunk, StandardCharsets.UTF_8));
                }
                outcome = text.toString().split("data:", -1).length - 1 == EVENTS ? "whole" : "incomplete";
            }
        } catch (IOException failed) {
            outcome = "broken off: " + failed.getMessage();
        }
        if (!bad) {
            (outcome.equals("whole") ? SOUND_WHOLE : SOUND_LOST).incrementAndGet();
        }
        rig.note("client: " + id + ": " + outcome);
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
