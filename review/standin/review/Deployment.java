package review;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A small deployment: the store with a configuration, and servers of two services. */
final class Deployment {

    static final String ORDERS = "orders";
    static final String MODELS = "models";

    /** Serves a request at a server; returns whether to keep the connection. */
    interface Behaviour {
        boolean serve(Server server, Http.Message request, Socket connection) throws IOException, InterruptedException;
    }

    /** A server of a service. */
    static final class Server extends Listener {
        final String id;
        final String service;
        final String zone;
        volatile Behaviour behaviour;
        volatile long born = System.currentTimeMillis();
        private final Rig rig;
        private final AtomicInteger seals = new AtomicInteger();

        Server(Rig rig, String host, String id, String service, String zone, Behaviour behaviour) throws IOException {
            super(host);
            this.rig = rig;
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.behaviour = behaviour;
        }

        @Override
        boolean serve(Http.Message request, Socket connection) throws IOException, InterruptedException {
            if (request.target().equals("/healthz")) {
                connection.getOutputStream().write(Http.encode(200, Map.of("Kingcuproad-Instance-Id", id), ""));
                return true;
            }
            String expected = request.header("kingcuproad-expect-instance");
            if (!expected.isEmpty() && !expected.equals(id)) {
                rig.note("server " + id + " rejects " + request.header("kingcuproad-attempt-id") + " with 421");
                connection
                        .getOutputStream()
                        .write(Http.encode(421, Map.of("Kingcuproad-Instance-Id", id), ""));
                return true;
            }
            return behaviour.serve(this, request, connection);
        }

        String seal() {
            return id + "." + seals.incrementAndGet();
        }

        /** Answers a request with 200 and a short body. */
        void answer(Http.Message request, Socket connection) throws IOException {
            String id = request.header("kingcuproad-attempt-id");
            connection
                    .getOutputStream()
                    .write(Http.encode(
                            200,
                            Map.of("Kingcuproad-Attempt-Id", id, "Kingcuproad-Server-Seal", seal()),
                            "answer to " + id));
        }

        String entry(String state) {
            return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                    + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"" + state
                    + "\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":" + born + "}";
        }
    }

    private Deployment() {}

    static String route(String path, String kind, String service, int timeoutMs, int goalMs, int attempts) {
        return "{\"name\":\"r" + path.replace("/", "-") + "\",\"hostname\":\"" + Rig.HOST + "\",\"path_prefix\":\""
                + path + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeoutMs + ",\"latency_goal_ms\":" + goalMs
                + ",\"priority\":1,\"service\":\"" + service + "\",\"attempts\":" + attempts
                + ",\"anonymous\":false"
                + (kind.equals("streaming") ? ",\"session_affinity\":true,\"resumable\":true,\"gap_aim_ms\":120" : "")
                + "}";
    }

    /** Returns a configuration with the limits of the pages' example. */
    static String configuration(int version, List<String> routes, List<String> keys) {
        List<String> quoted = new ArrayList<>();
        keys.forEach(key -> quoted.add("\"" + key + "\""));
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + "{\"name\":\"" + ORDERS
                + "\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false},"
                + "{\"name\":\"" + MODELS
                + "\",\"health_path\":\"/healthz\",\"max_connections\":258,\"protocol\":\"h1\",\"tls\":false,"
                + "\"engine\":{\"slots\":8,\"stride\":5,\"chunk\":512,\"report_lag_ms\":200.0}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"" + Rig.TENANT + "\",\"api_keys\":[" + String.join(",", quoted)
                + "],\"priority\":1}]}";
    }

    /** Starts servers of a service and registers them. */
    static List<Server> servers(Rig rig, Store store, int subnet, String service, int count, Behaviour behaviour)
            throws IOException {
        List<Server> servers = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            Server server = rig.keep(new Server(
                    rig,
                    rig.network + subnet + "." + (index + 1),
                    "i-" + service + "-" + index,
                    service,
                    "zone-" + (index % 2 + 1),
                    behaviour));
            server.start();
            store.put("servers", server.id, server.entry("ready"));
            servers.add(server);
        }
        return servers;
    }
}
