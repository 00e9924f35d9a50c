package review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A server breaks off some of its large answers; the requests may be repeated. */
public final class Case1 {

    private static final int ANSWER_BYTES = 300_000;
    private static final int SENT_BYTES = 280_000;
    private static final int CLIENTS = 16;
    private static final long RUN_MS = 14_000;
    private static final long TROUBLE_FROM_MS = 4_000;
    private static final long TROUBLE_FOR_MS = 5_500;
    private static final int BREAK_ONE_IN = 50;
    private static final int PAUSE_MS = 40;
    private static final int WORK_MS = 20;

    private static Rig rig;
    private static Rig.Program gateway;
    private static long startMs;
    private static final AtomicInteger ANSWERS = new AtomicInteger();
    private static final AtomicInteger BROKEN_OFF = new AtomicInteger();
    private static final AtomicInteger WRONG = new AtomicInteger();
    private static final AtomicInteger SOUND = new AtomicInteger();
    private static final Map<String, Integer> RUNS = new ConcurrentHashMap<>();
    private static String troubledServer = "";
    private static final AtomicInteger STRAY = new AtomicInteger();

    private Case1() {}

    public static void main(String[] arguments) throws Exception {
        rig = new Rig(Path.of(arguments[0]));
        Store store = rig.keep(new Store(rig.network + "2.1"));
        store.start();
        store.put(
                "config",
                "main",
                Deployment.configuration(
                        3,
                        List.of(Deployment.route("/look/", "idempotent", Deployment.ORDERS, 2_500, 150, 2)),
                        List.of(Rig.KEY)));
        Deployment.servers(rig, store, 3, Deployment.ORDERS, 3, Case1::serve);
        gateway = rig.gateway("gateway-1", 1, store);
        rig.awaitReady(gateway);
        startMs = rig.nowMs();
        Thread[] clients = new Thread[CLIENTS];
        for (int number = 0; number < CLIENTS; number++) {
            String name = "client-" + number;
            clients[number] = Thread.ofVirtual().start(() -> runClient(name));
        }
        for (Thread client : clients) {
            client.join();
        }
        String counts = SOUND + " whole answers, " + BROKEN_OFF + " answers broken off by a server, " + WRONG
                + " successes with a wrong body, " + STRAY + " connections with bytes after an answer";
        if (SOUND.get() < 200) {
            rig.finish(2, "could not run: " + counts);
        }
        boolean broken = WRONG.get() + STRAY.get() > 0;
        rig.finish(broken ? 1 : 0, (broken ? "MIXED broken: " : "held: ") + counts);
    }

    private static byte[] body(String server, String id) {
        byte[] pattern = (server + " for " + id + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] body = new byte[ANSWER_BYTES];
        for (int index = 0; index < body.length; index++) {
            body[index] = pattern[index % pattern.length];
        }
        return body;
    }

    private static boolean serve(Deployment.Server server, Http.Message request, Socket connection)
            throws IOException, InterruptedException {
        Thread.sleep(WORK_MS);
        String id = request.header("kingcuproad-attempt-id");
        byte[] message = Http.encode(
                "HTTP/1.1 200 OK",
                Map.of("Kingcuproad-Attempt-Id", id, "Kingcuproad-Server-Seal", server.seal()),
                body(server.id, id));
        RUNS.merge(server.id, 1, Integer::sum);
        long sinceMs = rig.nowMs() - startMs;
        boolean inTrouble = rig.trouble
                && server.id.equals(troubled(sinceMs))
                && sinceMs >= TROUBLE_FROM_MS
                && sinceMs < TROUBLE_FROM_MS + TROUBLE_FOR_MS;
        if (inTrouble && ANSWERS.incrementAndGet() % BREAK_ONE_IN == 0) {
            BROKEN_OFF.incrementAndGet();
            rig.note("server " + server.id + " runs " + id + " and breaks its answer off after " + SENT_BYTES + " of "
                    + ANSWER_BYTES + " bytes");
            connection.getOutputStream().write(message, 0, message.length - ANSWER_BYTES + SENT_BYTES);
            return false;
        }
        rig.note("server " + server.id + " runs " + id + " and answers whole");
        connection.getOutputStream().write(message);
        return true;
    }

    /** Returns the server that has trouble: one of three, the one that got most requests until the trouble began. */
    private static synchronized String troubled(long sinceMs) {
        if (troubledServer.isEmpty() && sinceMs >= TROUBLE_FROM_MS) {
            troubledServer = RUNS.entrySet().stream()
                    .max(Map.Entry.comparingByValue())
                    .map(Map.Entry::getKey)
                    .orElse("");
            rig.note("server " + troubledServer + " breaks off one in " + BREAK_ONE_IN + " answers for "
                    + TROUBLE_FOR_MS + " ms");
        }
        return troubledServer;
    }

    /** Looks something up again and again on a kept connection. */
    private static void runClient(String name) {
        Rig.Client client = null;
        int count = 0;
        while (rig.nowMs() < startMs + RUN_MS) {
            String id = name + "-" + count++;
            try {
                client = client == null ? new Rig.Client(gateway.front, 4_000) : client;
                client.send("GET", "/look/x", id, 2_500, Map.of(), new byte[0]);
                Http.Message answer = Http.read(client.in);
                if (answer == null) {
                    rig.note("client: " + id + " has its connection closed");
                    client = close(client);
                    continue;
                }
                check(id, answer);
                Thread.sleep(PAUSE_MS);
                if (client.in.available() > 0) {
                    STRAY.incrementAndGet();
                    rig.note("client: " + client.in.available() + " bytes or more follow the answer to " + id
                            + " while no request is waiting");
                    client = close(client);
                }
            } catch (IOException failed) {
                rig.note("client: " + id + " fails: " + failed.getMessage());
                client = close(client);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
        close(client);
    }

    private static Rig.Client close(Rig.Client client) {
        try {
            if (client != null) {
                client.close();
            }
        } catch (IOException ignored) {
            // It has ended already.
        }
        return null;
    }

    private static void check(String id, Http.Message answer) {
        String seal = answer.header("kingcuproad-server-seal");
        String server = seal.contains(".") ? seal.substring(0, seal.lastIndexOf('.')) : "";
        byte[] expected = body(server, id);
        if (answer.status() != 200) {
            rig.note("client: " + id + " gets status " + answer.status());
        } else if (Arrays.equals(answer.body(), expected)) {
            SOUND.incrementAndGet();
            rig.note("client: " + id + " gets 200 with the whole body of " + server);
        } else {
            WRONG.incrementAndGet();
            int index = Arrays.mismatch(answer.body(), expected);
            rig.note("client: " + id + " gets 200 with the seal " + seal + " and " + answer.body().length
                    + " bytes that are not the body of that server; they differ from byte " + index + ": "
                    + new String(answer.body(), index, Math.min(60, answer.body().length - index), StandardCharsets.UTF_8)
                            .replace("\n", "|"));
        }
    }
}
