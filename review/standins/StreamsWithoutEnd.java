import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.FutureTask;

/**
 * Planned stop of a gateway while streams run, of which some end with their connection, in an orderly way, because
 * their server states neither a length nor chunks.
 */
final class StreamsWithoutEnd {

    private static final int EVENTS = 28;
    private static final long EVENT_MS = 85;

    /** Servers count as still at work in the last sixth of the grace period of 8 s. */
    private static final long LAST_SIXTH_MS = 6_666;

    private final Record record;
    private final boolean trouble;
    private final Set<String> ended = ConcurrentHashMap.newKeySet();

    private StreamsWithoutEnd(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) throws Exception {
        int status;
        try (Record record = new Record(Path.of(arguments[1]));
                Store store = new Store(InetAddress.getLoopbackAddress());
                GatewayProcess gateway = new GatewayProcess(Path.of(arguments[0]), "gateway-1", store.address())) {
            status = new StreamsWithoutEnd(record, !"0".equals(System.getenv("TROUBLE"))).run(store, gateway);
        }
        System.exit(status);
    }

    private int run(Store store, GatewayProcess gateway) throws Exception {
        store.put("config", "main", Configuration.of(
                1,
                List.of(Configuration.route("summary", "/summary/", "streaming", 8_000, 401, "models", false)),
                List.of(Configuration.service("models")),
                ""));
        for (int index = 1; index <= 3; index++) {
            boolean statesEnd = index < 3 || !trouble;
            Server server = new Server(
                    record,
                    "i-" + index,
                    Server.anyPort(),
                    (self, request, out) -> answer(self, request, out, statesEnd));
            store.put("servers", server.id(), server.entry("models", 12, "ready"));
        }
        gateway.start();
        if (!gateway.awaitReady()) {
            record.line("the case could not run: the gateway is not ready");
            return 2;
        }
        List<Future<Client.Answer>> answers = new ArrayList<>();
        for (int number = 0; number < 60; number++) {
            answers.add(send(gateway));
            Thread.sleep(100);
        }
        record.line("SIGTERM");
        long stopMs = record.nowMs();
        gateway.terminate();
        int inProgress = 0;
        List<String> lost = new ArrayList<>();
        for (Future<Client.Answer> future : answers) {
            boolean running = !future.isDone();
            Client.Answer answer = future.get();
            if (running) {
                inProgress++;
                if (!answer.whole() && ended.contains(answer.attempt())) {
                    lost.add(answer.attempt());
                }
            }
        }
        long lastMs = record.nowMs() - stopMs;
        gateway.awaitEnd(10);
        record.line("requests in progress at the SIGTERM: %d; the last one ended %d ms after it", inProgress, lastMs);
        record.line("whole answers of servers whose clients got a part: %d %s", lost.size(), lost);
        boolean broken = !lost.isEmpty() && lastMs < LAST_SIXTH_MS;
        record.line("rule LOST %s", broken ? "broken" : "held");
        return broken ? 1 : 0;
    }

    private Future<Client.Answer> send(GatewayProcess gateway) {
        String attempt = Client.newAttempt();
        FutureTask<Client.Answer> task = new FutureTask<>(() -> {
            Client.Answer answer = Client.send(
                    gateway.front(),
                    "POST",
                    "/summary/1",
                    attempt,
                    "Kingcuproad-Model: m\r\nKingcuproad-Token-Count: 700,140\r\n",
                    "prompt",
                    8_000);
            record.line(
                    "client: %s has status %d, %s, %d events",
                    attempt,
                    answer.status(),
                    answer.whole() ? "whole" : "broken off",
                    answer.body().split("id: ", -1).length - 1);
            return answer;
        });
        Thread.startVirtualThread(task);
        return task;
    }

    private boolean answer(Server server, Http.Message request, OutputStream out, boolean statesEnd)
            throws IOException, InterruptedException {
        String attempt = Server.attempt(request);
        record.line("server %s runs %s, %s", server.id(), attempt, statesEnd ? "chunks" : "neither length nor chunks");
        Thread.sleep(100);
        Server.write(
                out,
                Server.success(request, "text/event-stream")
                        + (statesEnd ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n"));
        for (int event = 1; event <= EVENTS; event++) {
            String text = "id: " + event + "\ndata: token\n\n";
            Server.write(out, statesEnd ? Integer.toHexString(text.length()) + "\r\n" + text + "\r\n" : text);
            Thread.sleep(EVENT_MS);
        }
        if (statesEnd) {
            Server.write(out, "0\r\n\r\n");
        }
        ended.add(attempt);
        record.line("server %s has written all %d events of %s", server.id(), EVENTS, attempt);
        return statesEnd;
    }
}
