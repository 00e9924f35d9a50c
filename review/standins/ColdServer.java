import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A server becomes cold again while the store is silent to one of three gateways. */
final class ColdServer {

    private static final int COLD_PER_SECOND = 26;

    /** 26 x cold_over (1.5) + cold_slack (5). */
    private static final int BOUND = 44;

    /** A rate well above the tolerated one, at which the server crashes. */
    private static final int CRASH_RATE = 2 * COLD_PER_SECOND;

    private static final long COLD_MS = 4_000;
    private static final long WORK_MS = 20;

    /** Orders a second at each gateway. */
    private static final int[] RATES = {150, 75, 75};

    private final Record record;
    private final Store store;
    private final boolean trouble;
    private final Deque<Long> coldArrivalsMs = new ArrayDeque<>();
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile long coldUntilMs = -1;
    private volatile boolean stopping;
    private int largestRate;

    private ColdServer(Record record, Store store, boolean trouble) {
        this.record = record;
        this.store = store;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        int status;
        try (Record record = new Record(Path.of(arguments[1]));
                Store store = new Store(InetAddress.getLoopbackAddress())) {
            List<Store.Gate> gates = new ArrayList<>();
            List<GatewayProcess> gateways = new ArrayList<>();
            try {
                for (int index = 0; index < RATES.length; index++) {
                    gates.add(store.openGate(InetAddress.getLoopbackAddress()));
                    gateways.add(new GatewayProcess(
                            Path.of(arguments[0]), "gateway-" + index, gates.get(index).address()));
                }
                status = new ColdServer(record, store, !"0".equals(System.getenv("TROUBLE"))).run(gateways, gates);
            } finally {
                gateways.forEach(GatewayProcess::close);
            }
        }
        System.exit(status);
    }

    private int run(List<GatewayProcess> gateways, List<Store.Gate> gates) throws Exception {
        store.put("config", "main", Configuration.of(
                1,
                List.of(Configuration.route("order", "/order/", "non_idempotent", 2_500, 194, "desk", false)),
                List.of(Configuration.coldService("desk", COLD_PER_SECOND)),
                ""));
        List<Server> servers = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            Server server = new Server(record, "i-" + index, Server.anyPort(), this::answer);
            servers.add(server);
            store.put("servers", server.id(), server.entry("desk", 10, "ready"));
        }
        for (GatewayProcess gateway : gateways) {
            gateway.start();
        }
        for (int index = 0; index < RATES.length; index++) {
            if (!gateways.get(index).awaitReady()) {
                record.line("the case could not run: %s is not ready", gateways.get(index).name());
                return 2;
            }
        }
        // Two listings of the gateways, 10 s apart, tell each gateway that it knows all others.
        Thread.sleep(12_000);
        for (int index = 0; index < RATES.length; index++) {
            int rate = RATES[index];
            GatewayProcess gateway = gateways.get(index);
            Thread.startVirtualThread(() -> sendOrders(gateway, rate));
        }
        Thread.sleep(4_000);
        if (trouble) {
            gates.getFirst().setSilent(true);
            record.line("the store is silent to %s", gateways.getFirst().name());
        }
        Thread.sleep(2_000);
        Server cold = servers.getFirst();
        store.put("servers", cold.id(), cold.entry("desk", 10, "ready")
                .replace("\"cold_remaining_ms\":0", "\"cold_remaining_ms\":" + COLD_MS));
        record.line("server %s is cold again for %d ms and has said so in the store", cold.id(), COLD_MS);
        // The aware gateways need a moment to read it.
        Thread.sleep(500);
        coldUntilMs = record.nowMs() + COLD_MS - 500;
        Thread.sleep(COLD_MS - 500);
        gates.getFirst().setSilent(false);
        stopping = true;
        Thread.sleep(3_000);
        record.line("orders without an answer or with 502: %d", unanswered.get());
        record.line("most requests in one second while cold: %d, allowed %d", largestRate, BOUND);
        record.line("rule FAILBACK %s", largestRate > BOUND ? "broken" : "held");
        return largestRate > BOUND ? 1 : 0;
    }

    private void sendOrders(GatewayProcess gateway, int rate) {
        long startNs = System.nanoTime();
        for (long number = 0; !stopping; number++) {
            long dueMs = number * 1_000 / rate - (System.nanoTime() - startNs) / 1_000_000;
            try {
                Thread.sleep(Math.max(0, dueMs));
            } catch (InterruptedException stopped) {
                return;
            }
            String attempt = Client.newAttempt();
            Thread.startVirtualThread(() -> {
                Client.Answer answer = Client.send(gateway.front(), "POST", "/order/1", attempt, "", "order", 2_500);
                record.line("client of %s: order %s has status %d", gateway.name(), attempt, answer.status());
                if (answer.status() == 0 || answer.status() == 502) {
                    unanswered.incrementAndGet();
                }
            });
        }
    }

    private boolean answer(Server server, Http.Message request, OutputStream out)
            throws IOException, InterruptedException {
        record.line("server %s runs order %s", server.id(), Server.attempt(request));
        if (server.id().equals("i-0") && record.nowMs() < coldUntilMs && countArrival() > CRASH_RATE) {
            record.line("server %s is cold and crashes at %d requests a second", server.id(), largestRate);
            server.crash();
            return false;
        }
        Thread.sleep(WORK_MS);
        Server.write(out, Server.success(request, "text/plain") + "Content-Length: 4\r\n\r\ndone");
        return true;
    }

    private synchronized int countArrival() {
        long nowMs = record.nowMs();
        coldArrivalsMs.addLast(nowMs);
        while (coldArrivalsMs.getFirst() <= nowMs - 1_000) {
            coldArrivalsMs.removeFirst();
        }
        largestRate = Math.max(largestRate, coldArrivalsMs.size());
        return coldArrivalsMs.size();
    }
}
