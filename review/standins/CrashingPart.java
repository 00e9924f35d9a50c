import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A prompt part that crashes each server, while other servers go down and up by turns for a cause of their own. */
final class CrashingPart {

    private static final String CRASHING_PART = "dead0001";
    private static final int SERVERS = 18;
    private static final int SLOTS = 8;
    private static final int EVENTS = 28;
    private static final long EVENT_MS = 85;
    private static final long FIRST_EVENT_MS = 200;
    private static final long BACK_AFTER_MS = 4_000;
    private static final long STABLE_WINDOW_MS = 3_000;
    private static final int ALLOWED = 3;

    /** Servers that go down and up by turns, a share of 0.11. */
    private static final int FLAPPING_SERVERS = 2;

    /** Time for which a flapping server is down, and then up. */
    private static final long FLAP_MS = 820;

    /** Length of one period in which servers flap, and of the pause after it. */
    private static final long FLAPPING_MS = 6_500;

    private static final long FLAPPING_PAUSE_MS = 1_300;

    /** Sound requests come alone at first, so that their parts are known to be sound. */
    private static final long SOUND_ONLY_MS = 8_000;

    private static final long RUN_MS = 58_000;
    private static final long INTERVAL_MS = 80;

    /** One request in so many has the crashing part. */
    private static final int CRASHING_EVERY = 100;

    private final Record record;
    private final Store store;
    private final boolean trouble;
    private final List<Long> crashesMs = new CopyOnWriteArrayList<>();
    private final List<Long> crashingArrivalsMs = new CopyOnWriteArrayList<>();
    private final AtomicInteger soundServed = new AtomicInteger();
    private final AtomicInteger soundSent = new AtomicInteger();
    private final AtomicInteger starts = new AtomicInteger();
    private final AtomicInteger flaps = new AtomicInteger();
    private volatile boolean stopping;

    private CrashingPart(Record record, Store store, boolean trouble) {
        this.record = record;
        this.store = store;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        Path folder = Path.of(arguments[0]);
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Record record = new Record(Path.of(arguments[1]));
                Store store = new Store(InetAddress.getLoopbackAddress());
                GatewayProcess first = new GatewayProcess(folder, "gateway-1", store.address());
                GatewayProcess second = new GatewayProcess(folder, "gateway-2", store.address())) {
            status = new CrashingPart(record, store, trouble).run(List.of(first, second));
        }
        System.exit(status);
    }

    private int run(List<GatewayProcess> gateways) throws Exception {
        store.put("config", "main", Configuration.of(
                1,
                List.of(Configuration.route("summary", "/summary/", "streaming", 8_000, 401, "models", true)),
                List.of(Configuration.service("models")),
                ""));
        for (int index = 0; index < SERVERS - FLAPPING_SERVERS; index++) {
            startServer(Server.anyPort());
        }
        for (GatewayProcess gateway : gateways) {
            gateway.start();
        }
        for (GatewayProcess gateway : gateways) {
            if (!gateway.awaitReady()) {
                record.line("the case could not run: %s is not ready", gateway.name());
                return 2;
            }
        }
        Thread.sleep(1_000);
        long crashingFromMs = record.nowMs() + SOUND_ONLY_MS;
        long endMs = record.nowMs() + RUN_MS;
        if (trouble && !"0".equals(System.getenv("FLAPPING"))) {
            for (int index = 0; index < FLAPPING_SERVERS; index++) {
                Thread.startVirtualThread(this::flap);
            }
        }
        Random random = new Random(6);
        int tick = 0;
        while (record.nowMs() < endMs) {
            boolean crashing = tick % CRASHING_EVERY == 0 && record.nowMs() >= crashingFromMs;
            send(gateways.get(random.nextInt(gateways.size())), crashing, tick);
            tick++;
            Thread.sleep(INTERVAL_MS);
        }
        stopping = true;
        return judge();
    }

    private void send(GatewayProcess gateway, boolean crashing, int number) {
        String parts = "5c1e07a2:40," + (crashing && trouble ? CRASHING_PART : "91bd3f%02d".formatted(number % 20))
                + ":410,e4" + number + ":250";
        String attempt = Client.newAttempt();
        if (!crashing) {
            soundSent.incrementAndGet();
        }
        Thread.startVirtualThread(() -> {
            Client.Answer answer = Client.send(
                    gateway.front(),
                    "POST",
                    "/summary/1",
                    attempt,
                    "Kingcuproad-Model: m\r\nKingcuproad-Token-Count: 700,140\r\nKingcuproad-Prompt-Prefix: " + parts
                            + "\r\n",
                    "prompt",
                    8_000);
            if (!crashing && answer.served()) {
                soundServed.incrementAndGet();
            }
            record.line(
                    "client of %s: %s with parts %s: status %d, %s",
                    gateway.name(),
                    attempt,
                    parts,
                    answer.status(),
                    answer.whole() ? "whole" : "not whole");
        });
    }

    /** Lets one server go down and up by turns, in one period after the other. */
    private void flap() {
        try {
            Server server = startServer(Server.anyPort());
            while (!stopping) {
                long endMs = record.nowMs() + FLAPPING_MS;
                while (record.nowMs() < endMs && !stopping) {
                    Thread.sleep(FLAP_MS);
                    record.line("server %s goes down by turns", server.id());
                    server.crash();
                    flaps.incrementAndGet();
                    store.remove("servers", server.id());
                    Thread.sleep(FLAP_MS);
                    server = startServer(Server.anyPort());
                }
                Thread.sleep(FLAPPING_PAUSE_MS);
            }
        } catch (IOException | InterruptedException failed) {
            record.line("the flapping server could not go on: %s", failed);
        }
    }

    private Server startServer(InetSocketAddress address) throws IOException {
        Server server = new Server(record, "i-" + starts.incrementAndGet(), address, this::answer);
        store.put("servers", server.id(), server.entry("models", SLOTS, "ready"));
        record.line("server %s starts", server.id());
        return server;
    }

    private boolean answer(Server server, Http.Message request, OutputStream out)
            throws IOException, InterruptedException {
        boolean crashing =
                request.head().header("Kingcuproad-Prompt-Prefix").orElse("").contains(CRASHING_PART);
        record.line("server %s runs %s%s", server.id(), Server.attempt(request), crashing ? ", crashing part" : "");
        if (crashing) {
            crashingArrivalsMs.add(record.nowMs());
        }
        Thread.sleep(FIRST_EVENT_MS);
        if (crashing) {
            crash(server);
            return false;
        }
        Server.write(out, Server.success(request, "text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n");
        int from = Integer.parseInt(request.head().header("Last-Event-Id").orElse("0"));
        for (int event = from + 1; event <= EVENTS && !server.ended(); event++) {
            String text = "id: " + event + "\ndata: token\n\n";
            Server.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            Thread.sleep(EVENT_MS);
        }
        Server.write(out, "0\r\n\r\n");
        return true;
    }

    private void crash(Server server) throws IOException {
        synchronized (server) {
            if (server.ended()) {
                return;
            }
            crashesMs.add(record.nowMs());
            record.line("server %s crashes", server.id());
            server.crash();
        }
        Thread.startVirtualThread(() -> {
            try {
                // A heartbeat is missed three times before the entry goes.
                Thread.sleep(3_600);
                store.remove("servers", server.id());
                Thread.sleep(BACK_AFTER_MS - 3_600);
                if (!stopping) {
                    startServer(Server.anyPort());
                }
            } catch (IOException | InterruptedException failed) {
                record.line("server could not start again: %s", failed);
            }
        });
    }

    private int judge() throws InterruptedException {
        Thread.sleep(500);
        record.line("crashes by the part: %s; crashes of the flapping server: %d", crashesMs, flaps.get());
        record.line("sound requests: %d sent, %d served", soundSent.get(), soundServed.get());
        if (crashesMs.size() < 5) {
            record.line("rule BUDGET held: %d crashes", crashesMs.size());
            return 0;
        }
        long fromMs = crashesMs.get(4) + STABLE_WINDOW_MS;
        List<Long> late = new ArrayList<>(crashingArrivalsMs);
        late.removeIf(atMs -> atMs <= fromMs);
        record.line(
                "requests with the crashing part that reached servers later than %d: %d (%s), allowed %d",
                fromMs, late.size(), late, ALLOWED);
        boolean broken = late.size() > ALLOWED;
        record.line("rule BUDGET %s", broken ? "broken" : "held");
        return broken ? 1 : 0;
    }
}
