import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Two tenants whose names differ in a letter that isn't in Latin-1; the service keeps the orders of each tenant. */
final class TenantNames {

    private static final int ORDERS = 20;

    /** Time after its acknowledgement by which a version is in force. */
    private static final long CONFIG_MS = 2_000;

    private final Record record;

    /** Orders by the bytes of the header by which the server learns the tenant. */
    private final Map<String, Queue<String>> ordersByTenant = new ConcurrentHashMap<>();

    private final Map<String, String> tenantSeenByAttempt = new ConcurrentHashMap<>();

    private TenantNames(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) throws Exception {
        int status;
        try (Record record = new Record(Path.of(arguments[1]));
                Store store = new Store(InetAddress.getLoopbackAddress());
                GatewayProcess gateway = new GatewayProcess(Path.of(arguments[0]), "gateway-1", store.address())) {
            status = new TenantNames(record).run(store, gateway, !"0".equals(System.getenv("TROUBLE")));
        }
        System.exit(status);
    }

    private int run(Store store, GatewayProcess gateway, boolean trouble) throws Exception {
        List<String> names = trouble ? List.of("sklep-ja\u015b", "sklep-ja\u0144") : List.of("sklep-jas", "sklep-jan");
        String former = "{\"name\":\"sklep\",\"api_keys\":[\"key\"]}";
        putConfiguration(store, 1, former);
        Server server = new Server(record, "i-1", Server.anyPort(), this::answer);
        store.put("servers", server.id(), server.entry("desk", 6, "ready"));
        gateway.start();
        if (!gateway.awaitReady()) {
            record.line("the case could not run: the gateway is not ready");
            return 2;
        }
        String added = ",{\"name\":\"" + names.get(0) + "\",\"api_keys\":[\"key0\"]},{\"name\":\"" + names.get(1)
                + "\",\"api_keys\":[\"key1\"]}";
        putConfiguration(store, 2, former + added);
        record.line("a new version adds the tenants %s", names);
        Thread.sleep(CONFIG_MS);
        int sameTenant = 0;
        for (int number = 0; number < ORDERS; number++) {
            String first = order(gateway, names, 0, number);
            String second = order(gateway, names, 1, number);
            if (!first.isEmpty() && first.equals(second)) {
                sameTenant++;
            }
        }
        int foreign = 0;
        for (int tenant = 0; tenant < 2; tenant++) {
            String key = "X-Api-Key: key" + tenant + "\r\n";
            Client.Answer read =
                    Client.send(gateway.front(), "GET", "/read/all", Client.newAttempt(), key, "", 2_511);
            record.line("client with the key of %s reads: %s", names.get(tenant), read.body());
            if (read.served() && read.body().contains("of tenant " + (1 - tenant))) {
                foreign++;
            }
        }
        record.line("pairs of orders of different tenants that the server got for the same tenant: %d", sameTenant);
        record.line("clients that read orders of another tenant: %d", foreign);
        boolean broken = sameTenant > 0;
        record.line("rule UNASKED %s", broken ? "broken" : "held");
        server.close();
        return broken ? 1 : 0;
    }

    private static void putConfiguration(Store store, long version, String tenants) {
        store.put("config", "main", Configuration.of(
                version,
                List.of(
                        Configuration.route("order", "/order/", "non_idempotent", 2_515, 194, "desk", false),
                        Configuration.route("read", "/read/", "idempotent", 2_511, 194, "desk", false)),
                List.of(Configuration.service("desk")),
                "[" + tenants + "]"));
    }

    /** Places an order and returns the tenant that the server got for it, or an empty text if it wasn't answered. */
    private String order(GatewayProcess gateway, List<String> names, int tenant, int number) {
        String attempt = Client.newAttempt();
        Client.Answer answer = Client.send(
                gateway.front(),
                "POST",
                "/order/1",
                attempt,
                "X-Api-Key: key" + tenant + "\r\n",
                "order " + number + " of tenant " + tenant,
                2_515);
        record.line(
                "client with the key of %s: order %s has status %d", names.get(tenant), attempt, answer.status());
        return answer.served() ? tenantSeenByAttempt.getOrDefault(attempt, "") : "";
    }

    private boolean answer(Server server, Http.Message request, OutputStream out)
            throws IOException, InterruptedException {
        byte[] tenantBytes = request.head()
                .header("Kingcuproad-Tenant")
                .orElse("")
                .getBytes(StandardCharsets.ISO_8859_1);
        String tenant = HexFormat.of().formatHex(tenantBytes);
        record.line(
                "server runs %s %s for the tenant with the bytes %s",
                request.head().method(), Server.attempt(request), tenant);
        tenantSeenByAttempt.put(Server.attempt(request), tenant);
        Queue<String> orders = ordersByTenant.computeIfAbsent(tenant, unused -> new ConcurrentLinkedQueue<>());
        Thread.sleep(10);
        String body;
        if (request.head().method().equals("GET")) {
            body = String.join("; ", orders);
        } else {
            orders.add(request.text());
            body = "placed";
        }
        Server.write(
                out,
                Server.success(request, "text/plain") + "Content-Length: "
                        + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body);
        return true;
    }
}
