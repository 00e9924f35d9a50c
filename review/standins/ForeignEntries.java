import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All gateways are killed and start again; meanwhile another writer has put entries into the register, each at the
 * address of a server that lives and without a field that entries of servers have.
 */
final class ForeignEntries {

    private static final int SERVERS = 3;

    private static final int RATE_PER_SECOND = 20;
    private static final int BEFORE_S = 10;
    private static final int DOWN_MS = 1_000;

    /** Bound of the rule, counted from the time at which the gateways are back. */
    private static final int RECOVER_S = 12;

    private static final int AFTER_S = 15;

    /** Requests sent in a period, and how many of them were served. */
    private record Period(AtomicInteger sent, AtomicInteger served) {

        private Period() {
            this(new AtomicInteger(), new AtomicInteger());
        }

        private double share() {
            return served.get() / (double) Math.max(1, sent.get());
        }
    }

    private final Record record;

    private ForeignEntries(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        int status;
        try (Record record = new Record(Path.of(arguments[1]));
                Store store = new Store(InetAddress.getLoopbackAddress());
                GatewayProcess first = new GatewayProcess(Path.of(arguments[0]), "gateway-1", store.address());
                GatewayProcess second = new GatewayProcess(Path.of(arguments[0]), "gateway-2", store.address())) {
            status = new ForeignEntries(record)
                    .run(store, List.of(first, second), !"0".equals(System.getenv("TROUBLE")));
        }
        System.exit(status);
    }

    private int run(Store store, List<GatewayProcess> gateways, boolean trouble) throws Exception {
        store.put("config", "main", Configuration.of(
                1,
                List.of(Configuration.route("order", "/order/", "non_idempotent", 2_500, 194, "desk", false)),
                List.of(Configuration.service("desk")),
                ""));
        List<Server> desks = new ArrayList<>();
        for (int index = 0; index < SERVERS; index++) {
            Server server = new Server(record, "i-" + index, Server.anyPort(), this::answer);
            desks.add(server);
            store.put("servers", server.id(), server.entry("desk", 6, "ready"));
        }
        if (!start(gateways)) {
            return 2;
        }
        Period before = send(gateways, BEFORE_S);
        gateways.forEach(GatewayProcess::close);
        record.line("all gateways are killed");
        Thread.sleep(DOWN_MS);
        if (trouble) {
            desks.forEach(desk -> putForeignEntry(store, desk));
        }
        if (!start(gateways)) {
            return 2;
        }
        record.line("all gateways are back");
        send(gateways, RECOVER_S);
        Period after = send(gateways, AFTER_S);
        Thread.sleep(3_000);
        record.line("before the kill: %d sent, %d served", before.sent.get(), before.served.get());
        record.line("later than %d s after it: %d sent, %d served", RECOVER_S, after.sent.get(), after.served.get());
        boolean broken = before.share() >= 0.25 && after.share() < 0.25;
        record.line("rule RECOVER %s", broken ? "broken" : "held");
        return broken ? 1 : 0;
    }

    private boolean start(List<GatewayProcess> gateways) throws Exception {
        for (GatewayProcess gateway : gateways) {
            gateway.start();
        }
        for (GatewayProcess gateway : gateways) {
            if (!gateway.awaitReady()) {
                record.line("the case could not run: %s is not ready", gateway.name());
                return false;
            }
        }
        return true;
    }

    private Period send(List<GatewayProcess> gateways, int seconds) throws InterruptedException {
        Period period = new Period();
        for (int number = 0; number < seconds * RATE_PER_SECOND; number++) {
            GatewayProcess gateway = gateways.get(number % gateways.size());
            period.sent.incrementAndGet();
            Thread.startVirtualThread(() -> {
                String attempt = Client.newAttempt();
                Client.Answer answer = Client.send(gateway.front(), "POST", "/order/1", attempt, "", "order", 2_500);
                record.line("client of %s: order %s has status %d", gateway.name(), attempt, answer.status());
                if (answer.served()) {
                    period.served.incrementAndGet();
                }
            });
            Thread.sleep(1_000 / RATE_PER_SECOND);
        }
        return period;
    }

    /** Writes an entry whose field version is missing and whose field sequence is a text. */
    private void putForeignEntry(Store store, Server server) {
        String spec = server.entry("desk", 6, "ready")
                .replace("\"version\":\"v1\",", "")
                .replace("\"sequence\":1", "\"sequence\":\"none\"")
                .replaceAll("\"born\":\\d+", "\"born\":" + System.currentTimeMillis());
        store.put("servers", "x-" + server.id(), spec);
        record.line("another writer's entry x-%s: %s", server.id(), spec);
    }

    private boolean answer(Server server, Http.Message request, OutputStream out)
            throws IOException, InterruptedException {
        record.line("server %s runs %s", server.id(), Server.attempt(request));
        Thread.sleep(20);
        Server.write(out, Server.success(request, "text/plain") + "Content-Length: 4\r\n\r\ndone");
        return true;
    }
}
