package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** One server answers one stream with bytes that are no answer, without end. */
public final class Case3 {

    private static final int CLIENTS = 10;
    private static final long RUN_MS = 18_000;
    private static final long STREAM_AT_MS = 4_000;
    private static final int STREAMS = 8;
    private static final int EVENTS = 28;
    private static final int CHUNK_BYTES = 8_000;

    private static Rig rig;
    private static String troubled = "";

    private Case3() {}

    public static void main(String[] arguments) throws Exception {
        rig = new Rig(Path.of(arguments[0]));
        Store store = rig.keep(new Store(rig.network + "2.1"));
        store.start();
        store.put(
                "config",
                "main",
                Deployment.configuration(
                        3,
                        List.of(
                                Lookups.route(),
                                Deployment.route("/draft/", "streaming", Deployment.MODELS, 8_000, 400, 2)),
                        List.of(Rig.KEY)));
        Deployment.servers(rig, store, 3, Deployment.ORDERS, 3, (server, request, connection) -> {
            Thread.sleep(20);
            rig.note("server " + server.id + " runs " + request.header("kingcuproad-attempt-id"));
            server.answer(request, connection);
            return true;
        });
        Deployment.servers(rig, store, 4, Deployment.MODELS, 6, Case3::stream);
        Rig.Program gateway = rig.gateway("gateway-1", 1, store);
        rig.awaitReady(gateway);
        long startMs = rig.nowMs();
        Lookups lookups = new Lookups(rig, gateway);
        lookups.start(CLIENTS, startMs + RUN_MS);
        lookups.watchReadiness(startMs + RUN_MS);
        Thread[] clients = new Thread[STREAMS];
        for (int number = 0; number < STREAMS; number++) {
            String id = "stream-" + number;
            long atMs = startMs + STREAM_AT_MS + number * 500L;
            clients[number] = Thread.ofVirtual().start(() -> readStream(gateway, id, atMs));
        }
        boolean broken = lookups.broken();
        for (Thread client : clients) {
            client.join();
        }
        if (!gateway.alive()) {
            rig.finish(1, "the gateway has ended");
        }
        rig.finish(broken ? 1 : 0, broken ? "CONFIG broken: the gateway hung" : "held");
    }

    private static boolean stream(Deployment.Server server, Http.Message request, Socket connection)
            throws IOException, InterruptedException {
        String id = request.header("kingcuproad-attempt-id");
        OutputStream out = connection.getOutputStream();
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nKingcuproad-Attempt-Id: " + id
                        + "\r\nKingcuproad-Server-Seal: " + server.seal() + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
        if (rig.trouble && inTrouble(server)) {
            flood(server, id, out);
            return false;
        }
        rig.note("server " + server.id + " runs " + id + " and answers whole");
        for (int event = 1; event <= EVENTS; event++) {
            Thread.sleep(30);
            out.write(chunk(("id: " + event + "\ndata: piece " + event + " of " + id + "\n\n")
                    .getBytes(StandardCharsets.UTF_8)));
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        return true;
    }

    /** One server is in trouble: the one that gets the first stream, from then on. */
    private static synchronized boolean inTrouble(Deployment.Server server) {
        troubled = troubled.isEmpty() ? server.id : troubled;
        return troubled.equals(server.id);
    }

    /** Sends line ends until the caller closes. */
    private static void flood(Deployment.Server server, String id, OutputStream out) {
        rig.note("server " + server.id + " runs " + id + " and sends bytes that are no answer until it is closed");
        byte[] lineEnds = new byte[CHUNK_BYTES];
        Arrays.fill(lineEnds, (byte) '\n');
        byte[] chunk = chunk(lineEnds);
        long sent = 0;
        try {
            while (true) {
                out.write(chunk);
                sent += CHUNK_BYTES;
            }
        } catch (IOException closed) {
            rig.note("server " + server.id + " is closed after " + sent + " bytes that are no answer");
        }
    }

    private static byte[] chunk(byte[] bytes) {
        byte[] size = (Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.UTF_8);
        byte[] chunk = Arrays.copyOf(size, size.length + bytes.length + 2);
        System.arraycopy(bytes, 0, chunk, size.length, bytes.length);
        chunk[chunk.length - 2] = '\r';
        chunk[chunk.length - 1] = '\n';
        return chunk;
    }

    /** Sends one stream and reads its answer; the client leaves after two seconds without an event. */
    private static void readStream(Rig.Program gateway, String id, long atMs) {
        try {
            Thread.sleep(Math.max(0, atMs - rig.nowMs()));
            rig.note("client sends " + id);
            try (Rig.Client client = new Rig.Client(gateway.front, 2_000)) {
                client.send(
                        "POST",
                        "/draft/x",
                        id,
                        8_000,
                        Map.of("Kingcuproad-Model", "m", "Kingcuproad-Token-Count", "700,140"),
                        "prompt".getBytes(StandardCharsets.UTF_8));
                readEvents(client, id);
            } catch (SocketException ended) {
                rig.note("client: " + id + " is cut: " + ended.getMessage());
            } catch (IOException failed) {
                rig.note("client: " + id + " leaves: " + failed.getMessage());
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void readEvents(Rig.Client client, String id) throws IOException {
        Http.Message head = Http.readHead(client.in);
        if (head == null || head.status() != 200) {
            rig.note("client: " + id + " gets " + (head == null ? "no answer" : "status " + head.status()));
            return;
        }
        long bytes = 0;
        long lastEventMs = rig.nowMs();
        int events = 0;
        for (byte[] chunk = Http.readChunk(client.in); chunk.length > 0; chunk = Http.readChunk(client.in)) {
            bytes += chunk.length;
            if (new String(chunk, StandardCharsets.UTF_8).contains("data:")) {
                events++;
                lastEventMs = rig.nowMs();
            } else if (rig.nowMs() - lastEventMs > 2_000) {
                rig.note("client: " + id + " leaves after two seconds without an event and " + bytes + " bytes");
                return;
            }
        }
        rig.note("client: " + id + " gets " + events + " events");
    }
}
