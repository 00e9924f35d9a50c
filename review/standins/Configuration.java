import java.util.List;

/** Text of an operator's configuration. */
final class Configuration {

    private Configuration() {}

    static String of(long version, List<String> routes, List<String> services, String tenants) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", services) + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}"
                + (tenants.isEmpty() ? "" : ",\"tenants\":" + tenants) + "}";
    }

    static String route(
            String name, String prefix, String kind, long timeoutMs, long goalMs, String service, boolean resumable) {
        return """
                {"name":"%s","hostname":"h.example","path_prefix":"%s","kind":"%s","timeout_ms":%d,"latency_goal_ms":%d,"priority":1,"service":"%s","attempts":2,"anonymous":false,"session_affinity":%s,"resumable":%s,"gap_aim_ms":120}"""
                .formatted(name, prefix, kind, timeoutMs, goalMs, service, kind.equals("streaming"), resumable);
    }

    static String service(String name) {
        return "{\"name\":\"" + name
                + "\",\"health_path\":\"/healthz\",\"max_connections\":258,\"protocol\":\"h1\",\"tls\":false}";
    }

    /** Returns a service whose cold servers tolerate some requests a second from all gateways together. */
    static String coldService(String name, int coldPerSecond) {
        return service(name).replace("}", ",\"cold_per_s\":" + coldPerSecond + ",\"cold_start_s\":3.0}");
    }
}
