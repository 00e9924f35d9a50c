package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Clients that look something up again and again, and the check of the rule CONFIG on their requests: of those that are
 * still unanswered at the time-out of their route, no more than half may have no answer half a second later.
 */
final class Lookups {

    static final String PATH = "/look/";
    static final int TIMEOUT_MS = 1_200;
    private static final int LATE_MS = 500;
    private static final int CLIENT_WAIT_MS = 2_500;
    private static final int PAUSE_MS = 100;

    /** The rule speaks of more than half; a few single requests show nothing. */
    private static final int ENOUGH = 8;

    private record Result(long sentMs, long durationMs, String answer) {}

    private final Rig rig;
    private final Rig.Program gateway;
    private final List<Result> results = new CopyOnWriteArrayList<>();
    private final List<Thread> threads = new ArrayList<>();

    Lookups(Rig rig, Rig.Program gateway) {
        this.rig = rig;
        this.gateway = gateway;
    }

    static String route() {
        return Deployment.route(PATH, "idempotent", Deployment.ORDERS, TIMEOUT_MS, 150, 2);
    }

    /** Starts clients that send requests until the given time, each with a new connection. */
    void start(int clients, long untilMs) {
        for (int number = 0; number < clients; number++) {
            String name = "lookup-" + number;
            threads.add(Thread.ofVirtual().start(() -> run(name, untilMs)));
        }
    }

    private void run(String name, long untilMs) {
        try {
            for (int count = 0; rig.nowMs() < untilMs; count++) {
                call(name + "-" + count);
                Thread.sleep(PAUSE_MS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void call(String id) {
        long sentMs = rig.nowMs();
        String answer;
        try (Rig.Client client = new Rig.Client(gateway.front, CLIENT_WAIT_MS)) {
            client.send("GET", PATH + "x", id, CLIENT_WAIT_MS, Map.of(), new byte[0]);
            Http.Message message = Http.read(client.in);
            answer = message == null ? "closed" : String.valueOf(message.status());
        } catch (IOException failed) {
            answer = "none: " + failed.getMessage();
        }
        Result result = new Result(sentMs, rig.nowMs() - sentMs, answer);
        results.add(result);
        rig.note("lookup " + id + " sent at " + sentMs + ", after " + result.durationMs + " ms: " + answer);
    }

    /** Waits for all clients and returns whether the rule was broken. */
    boolean broken() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
        List<Result> unanswered = results.stream()
                .filter(result -> result.durationMs > TIMEOUT_MS)
                .toList();
        long later = unanswered.stream()
                .filter(result -> result.durationMs > TIMEOUT_MS + LATE_MS)
                .count();
        rig.note(results.size() + " lookups, " + unanswered.size() + " unanswered at timeout_ms = " + TIMEOUT_MS + ", "
                + later + " of these without an answer " + LATE_MS + " ms later");
        return unanswered.size() >= ENOUGH && later * 2 > unanswered.size();
    }

    /** Asks for readiness once a second, as the platform does, until the given time. */
    void watchReadiness(long untilMs) {
        threads.add(Thread.ofVirtual().start(() -> {
            try {
                while (rig.nowMs() < untilMs) {
                    int status = gateway.readiness();
                    if (status != 200) {
                        rig.note("readiness: " + (status < 0 ? "no answer within a second" : "status " + status));
                    }
                    Thread.sleep(1_000);
                }
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }));
    }
}
