import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A gateway that runs as a process of its own, with the command of the deploy file. */
final class GatewayProcess implements AutoCloseable {

    private final Path folder;
    private final String name;
    private final String host;
    private final int frontPort;
    private final int readyPort;
    private final int internalPort;
    private Process process;

    /**
     * Prepares a gateway on a loopback address of its own, since its metrics have a fixed port.
     *
     */
    GatewayProcess(Path folder, String name, InetSocketAddress store) throws IOException {
        this.folder = folder;
        this.name = name;
        this.host = Loopback.freeHost();
        this.frontPort = Loopback.freePort(host);
        this.readyPort = Loopback.freePort(host);
        this.internalPort = Loopback.freePort(host);
        Files.writeString(folder.resolve(name + ".json"), settings(store));
    }

    private String settings(InetSocketAddress store) {
        return """
                {"node_name":"%s","role":"gateway","machine_class":"front","serves":["front"],"ip":"%s","zone":"a",
                 "region":"r","zones":{"a":"r"},
                 "listen":{"front":"%s:%d","ready":"%s:%d"},"internal_ports":[%d,%d],"seeds":[],"bootstrap":true,
                 "limits":{"cpu_share":0.57,"cores":1,"memory_mb":430,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0},
                 "data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
                 "contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
                 "bounds":{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":3000,"ack_ms":4000,"catch_up_s":4,
                  "drain_ms":2000,"grace_s":8,"lost_ms":200,"config_ms":2000,"downgrade_ms":250,"outer_ms":5000,
                  "strict_revocation":true,"revoke_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,
                  "budget_slack":94,"cold_over":1.5,"cold_slack":5,"recover_s":12,"pass_ms":120,"again_s":0,"stall_ms":1500,
                  "require_fencing":false},
                 "provider":{"address":"%s:%d","form":"objects","writes_per_s":400,"reads_per_s":2000,
                  "history_s":20,"value_bytes":1048576,"ttl_min_ms":1000}}
                """
                .formatted(
                        name,
                        host,
                        host,
                        frontPort,
                        host,
                        readyPort,
                        internalPort,
                        internalPort + 15,
                        store.getAddress().getHostAddress(),
                        store.getPort());
    }

    String name() {
        return name;
    }

    InetSocketAddress front() {
        return new InetSocketAddress(host, frontPort);
    }

    long pid() {
        return process.pid();
    }

    void start() throws IOException {
        List<String> command = List.of(System.getProperty("gateway.command").split(" "));
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + ".log").toFile()));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("KINGCUPROAD_CONFIG", folder.resolve(name + ".json").toString());
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
    }

    /** Waits until the gateway says that it is ready, for 20 seconds at most. */
    boolean awaitReady() throws InterruptedException {
        long endMs = System.currentTimeMillis() + 20_000;
        while (System.currentTimeMillis() < endMs && process.isAlive()) {
            if (ready()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    boolean ready() {
        try (Socket socket = new Socket(host, readyPort)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            Http.Head head = new Http.Input(socket.getInputStream()).readHead();
            return head != null && head.status() == 200;
        } catch (IOException notListening) {
            return false;
        }
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    boolean awaitEnd(long seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    boolean alive() {
        return process.isAlive();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Free addresses and ports on loopback. */
    static final class Loopback {

        private Loopback() {}

        /** Returns a loopback address at which the metrics port is free. */
        static String freeHost() throws IOException {
            for (int attempt = 0; attempt < 200; attempt++) {
                String host = "127." + (20 + (int) (Math.random() * 200)) + "." + (int) (Math.random() * 250) + "."
                        + (1 + (int) (Math.random() * 250));
                try (ServerSocket socket = new ServerSocket(9_100, 1, InetAddress.getByName(host))) {
                    return host;
                } catch (IOException taken) {
                    // Another address is tried.
                }
            }
            throw new IOException("no loopback address with a free port 9100");
        }

        static int freePort(String host) throws IOException {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
                return socket.getLocalPort();
            }
        }
    }
}
