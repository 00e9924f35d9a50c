package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Many users come at once; each uploads a body within the configured limit. */
public final class Case4 {

    private static final int USERS = 16;
    private static final double BURST = 1.7;
    private static final int BODY_BYTES = 4_000_000;
    private static final int UPLOAD_MS = 3_000;
    private static final int PIECES = 100;
    private static final int CLIENTS = 10;
    private static final long RUN_MS = 24_000;
    private static final long BURST_AT_MS = 4_000;
    private static final long SPREAD_MS = 16_000;

    private static Rig rig;
    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static final AtomicInteger CUT = new AtomicInteger();

    private Case4() {}

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
                                Deployment.route("/order/", "non_idempotent", Deployment.ORDERS, 2_500, 150, 1)),
                        List.of(Rig.KEY)));
        Deployment.servers(rig, store, 3, Deployment.ORDERS, 3, (server, request, connection) -> {
            Thread.sleep(20);
            rig.note("server " + server.id + " runs " + request.header("kingcuproad-attempt-id"));
            server.answer(request, connection);
            return true;
        });
        Rig.Program gateway = rig.gateway("gateway-1", 1, store);
        rig.awaitReady(gateway);
        long startMs = rig.nowMs();
        Lookups lookups = new Lookups(rig, gateway);
        lookups.start(CLIENTS, startMs + RUN_MS);
        lookups.watchReadiness(startMs + RUN_MS);
        int users = (int) Math.round(rig.trouble ? USERS * BURST : USERS);
        Thread[] uploads = new Thread[users];
        for (int number = 0; number < users; number++) {
            String id = "order-" + number;
            long atMs = startMs + BURST_AT_MS + (rig.trouble ? 0 : number * SPREAD_MS / users);
            uploads[number] = Thread.ofVirtual().start(() -> upload(gateway, id, atMs));
        }
        boolean broken = lookups.broken();
        for (Thread upload : uploads) {
            upload.join();
        }
        String counts = users + " uploads, " + ANSWERED + " answered with 200, " + CUT + " cut";
        if (!gateway.alive()) {
            rig.finish(1, "the gateway has ended; " + counts);
        }
        rig.finish(broken ? 1 : 0, (broken ? "CONFIG broken: the gateway hung; " : "held: ") + counts);
    }

    /** Sends an order with a large body, evenly over some seconds, and reads the answer. */
    private static void upload(Rig.Program gateway, String id, long atMs) {
        try {
            Thread.sleep(Math.max(0, atMs - rig.nowMs()));
            long sentMs = rig.nowMs();
            rig.note("client begins to send " + id + ", " + BODY_BYTES + " bytes in " + UPLOAD_MS + " ms");
            try (Rig.Client client = new Rig.Client(gateway.front, 4_000)) {
                OutputStream out = client.socket.getOutputStream();
                out.write(("POST /order/x HTTP/1.1\r\nHost: " + Rig.HOST + "\r\nKingcuproad-Attempt-Id: " + id
                                + "\r\nKingcuproad-Deadline-Ms: 8000\r\nX-Api-Key: " + Rig.KEY + "\r\nContent-Length: "
                                + BODY_BYTES + "\r\n\r\n")
                        .getBytes(StandardCharsets.UTF_8));
                byte[] piece = new byte[BODY_BYTES / PIECES];
                for (int number = 1; number <= PIECES; number++) {
                    out.write(piece);
                    Thread.sleep(Math.max(0, sentMs + (long) number * UPLOAD_MS / PIECES - rig.nowMs()));
                }
                Http.Message answer = Http.read(client.in);
                String status = answer == null ? "closed" : String.valueOf(answer.status());
                (status.equals("200") ? ANSWERED : CUT).incrementAndGet();
                rig.note("client: " + id + " after " + (rig.nowMs() - sentMs) + " ms: " + status);
            } catch (IOException failed) {
                CUT.incrementAndGet();
                rig.note("client: " + id + " after " + (rig.nowMs() - sentMs) + " ms: cut: " + failed.getMessage());
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
