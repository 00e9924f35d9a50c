import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** The store is silent to one of three gateways for some seconds, while a server leaves without a notice. */
final class SilentStore {

    private static final int ROUNDS = 6;
    private static final long SILENCE_MS = 4_000;
    private static final long STABLE_WINDOW_MS = 3_000;
    private static final long DRAIN_MS = 2_000;

    /** Time for which a server goes on serving after its entry has been removed. */
    private static final long SERVES_ON_MS = 4_150;

    private static final long WORK_MS = 150;

    private record Sent(String gateway, long atMs) {}

    private record Arrival(String server, String attempt, long atMs) {}

    /** A server whose entry was removed, and the gateway to which the store was silent then. */
    private record Leaving(String server, long removedMs, String gateway, long silenceEndMs) {}

    private final Record record;
    private final Store store;
    private final Map<String, Sent> sent = new ConcurrentHashMap<>();
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Map<String, Server> servers = new ConcurrentHashMap<>();
    private final AtomicInteger starts = new AtomicInteger();
    private final AtomicInteger cutOff = new AtomicInteger();
    private volatile boolean stopping;

    private SilentStore(Record record, Store store) {
        this.record = record;
        this.store = store;
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        int status;
        try (Record record = new Record(Path.of(arguments[1]));
                Store store = new Store(InetAddress.getLoopbackAddress())) {
            List<Store.Gate> gates = new ArrayList<>();
            List<GatewayProcess> gateways = new ArrayList<>();
            try {
                for (int index = 0; index < 3; index++) {
                    gates.add(store.openGate(InetAddress.getLoopbackAddress()));
                    gateways.add(new GatewayProcess(folder, "gateway-" + index, gates.get(index).address()));
                }
                status = new SilentStore(record, store).run(gateways, gates, !"0".equals(System.getenv("TROUBLE")));
            } finally {
                gateways.forEach(GatewayProcess::close);
            }
        }
        System.exit(status);
    }

    private int run(List<GatewayProcess> gateways, List<Store.Gate> gates, boolean trouble) throws Exception {
        store.put("config", "main", Configuration.of(
                1,
                List.of(Configuration.route("order", "/order/", "non_idempotent", 2_500, 194, "desk", false)),
                List.of(Configuration.service("desk")),
                ""));
        for (int index = 0; index < 3; index++) {
            startServer();
        }
        for (GatewayProcess gateway : gateways) {
            gateway.start();
        }
        for (GatewayProcess gateway : gateways) {
            if (!gateway.awaitReady()) {
                record.line("the case could not run: %s is not ready", gateway.name());
                return 2;
            }
            Thread.startVirtualThread(() -> sendOrders(gateway));
        }
        Thread.sleep(4_000);
        List<Leaving> leaving = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            leaving.add(playRound(gateways.get(round % 3), gates.get(round % 3), trouble));
        }
        stopping = true;
        Thread.sleep(3_000);
        return judge(leaving);
    }

    private Leaving playRound(GatewayProcess gateway, Store.Gate gate, boolean trouble) throws Exception {
        String leaver = servers.keySet().iterator().next();
        startServer();
        if (trouble) {
            gate.setSilent(true);
            record.line("the store is silent to %s", gateway.name());
        }
        Thread.sleep(SILENCE_MS - 1_800);
        awaitRegisterCall(gate);
        Thread.sleep(500);
        Server server = servers.remove(leaver);
        store.remove("servers", leaver);
        long removedMs = record.nowMs();
        record.line("the store acknowledges that the entry of server %s is removed", leaver);
        Thread.startVirtualThread(() -> end(server));
        // A call that has just begun stays unanswered, and the gateway waits for a second before it repeats it.
        awaitRegisterCall(gate);
        Thread.sleep(50);
        gate.setSilent(false);
        long endMs = record.nowMs();
        record.line("the store answers %s again", gateway.name());
        Thread.sleep(SERVES_ON_MS + 1_000);
        return new Leaving(leaver, removedMs, gateway.name(), endMs);
    }

    private static void awaitRegisterCall(Store.Gate gate) throws InterruptedException {
        long fromMs = System.currentTimeMillis();
        while (gate.lastRegisterCallMs() < fromMs && System.currentTimeMillis() < fromMs + 2_000) {
            Thread.sleep(2);
        }
    }

    private void startServer() throws IOException {
        Server server = new Server(
                record,
                "i-" + starts.incrementAndGet(),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                this::answer);
        servers.put(server.id(), server);
        store.put("servers", server.id(), server.entry("desk", 6, "ready"));
    }

    private void end(Server server) {
        try {
            Thread.sleep(SERVES_ON_MS);
            record.line("server %s ends", server.id());
            server.crash();
        } catch (IOException | InterruptedException failed) {
            record.line("server did not end: %s", failed);
        }
    }

    private void sendOrders(GatewayProcess gateway) {
        while (!stopping) {
            String attempt = Client.newAttempt();
            sent.put(attempt, new Sent(gateway.name(), record.nowMs()));
            record.line("client sends order %s to %s", attempt, gateway.name());
            Thread.startVirtualThread(() -> {
                Client.Answer answer = Client.send(gateway.front(), "POST", "/order/1", attempt, "", "order", 2_500);
                record.line("client: order %s has status %d", attempt, answer.status());
            });
            try {
                Thread.sleep(50);
            } catch (InterruptedException stopped) {
                return;
            }
        }
    }

    private boolean answer(Server server, Http.Message request, OutputStream out)
            throws IOException, InterruptedException {
        String attempt = Server.attempt(request);
        arrivals.add(new Arrival(server.id(), attempt, record.nowMs()));
        record.line("server %s runs order %s", server.id(), attempt);
        Thread.sleep(WORK_MS);
        if (server.ended()) {
            cutOff.incrementAndGet();
            record.line("server %s has ended within order %s", server.id(), attempt);
        }
        Server.write(out, Server.success(request, "text/plain") + "Content-Length: 4\r\n\r\ndone");
        return true;
    }

    private int judge(List<Leaving> leaving) {
        int late = 0;
        for (Leaving one : leaving) {
            for (Arrival arrival : arrivals) {
                Sent from = sent.get(arrival.attempt);
                // A gateway is in touch again a stable window after the silence; the other two always are.
                long inTouchMs = from.gateway.equals(one.gateway) ? one.silenceEndMs + STABLE_WINDOW_MS : 0;
                if (arrival.server.equals(one.server)
                        && arrival.atMs > one.removedMs + DRAIN_MS
                        && from.atMs > inTouchMs) {
                    late++;
                    record.line(
                            "order %s, sent at %d to %s, reached server %s at %d, %d ms after its removal; in touch"
                                    + " since %d",
                            arrival.attempt,
                            from.atMs,
                            from.gateway,
                            one.server,
                            arrival.atMs,
                            arrival.atMs - one.removedMs,
                            inTouchMs);
                }
            }
        }
        record.line("orders cut off by the end of a server that had left: %d", cutOff.get());
        record.line("rule DRAIN %s: %d requests", late > 0 ? "broken" : "held", late);
        return late > 0 ? 1 : 0;
    }
}
