package review;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Starts the project's programs with the commands of the deploy file, and writes the record of a case. */
final class Rig implements AutoCloseable {

    static final String HOST = "review.example";
    static final String KEY = "key-of-tenant-1";
    static final String TENANT = "tenant-1";


    /** A program under test. */
    static final class Program {
        private final String name;
        private final ProcessBuilder builder;
        final InetSocketAddress front;
        final InetSocketAddress ready;
        volatile Process process;

        private Program(String name, ProcessBuilder builder, InetSocketAddress front, InetSocketAddress ready) {
            this.name = name;
            this.builder = builder;
            this.front = front;
            this.ready = ready;
        }

        void start() throws IOException {
            process = builder.start();
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        /** Returns the status of the readiness check, or -1 if there is no answer within a second. */
        int readiness() {
            try (Socket socket = new Socket()) {
                socket.setSoTimeout(1_000);
                socket.connect(ready, 1_000);
                socket.getOutputStream()
                        .write("GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
                Http.Message answer = Http.readHead(Http.buffered(socket.getInputStream()));
                return answer == null ? -1 : answer.status();
            } catch (IOException failed) {
                return -1;
            }
        }
    }

    final Path root = Path.of("").toAbsolutePath();
    final Path directory;
    /** First part of the loopback addresses of this run; runs at the same time differ in it. */
    final String network = "127." + (100 + ProcessHandle.current().pid() % 100) + ".";

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    /** First port for datagrams between the gateways, the same on all their addresses. */
    private final int peerPort;

    private final BufferedWriter record;
    private final long startNanos = System.nanoTime();
    private final List<AutoCloseable> open = new ArrayList<>();
    private final List<Program> programs = new java.util.concurrent.CopyOnWriteArrayList<>();

    Rig(Path caseFolder) throws IOException {
        directory = Files.createTempDirectory("review");
        record = Files.newBufferedWriter(caseFolder.resolve("record.txt"));
        try (DatagramSocket free = new DatagramSocket(new InetSocketAddress(network + "0.1", 0))) {
            peerPort = Math.min(free.getLocalPort(), 65_000);
        }
        note("trouble " + (trouble ? "on" : "off"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::endPrograms));
    }

    private void endPrograms() {
        for (Program program : programs) {
            if (program.process != null) {
                program.process.destroyForcibly();
            }
        }
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    /** Writes a line to the record. */
    void note(String line) {
        synchronized (record) {
            try {
                record.write(String.format("%7d %s%n", nowMs(), line));
            } catch (IOException failed) {
                throw new IllegalStateException(failed);
            }
        }
    }

    <T extends AutoCloseable> T keep(T closeable) {
        open.add(closeable);
        return closeable;
    }

    /** Returns the command of a role of the deploy file. */
    private List<String> command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("the deploy file has no role " + role);
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    /** Starts a gateway with settings like those of a small deployment. */
    Program gateway(String name, int number, Store store) throws IOException {
        String ip = network + "0." + number;
        String zone = "zone-" + number;
        String storeAddress = store.address();
        int front = freePort(ip);
        int ready = freePort(ip);
        String settings = """
                {"node_name":"%s","role":"gateway","machine_class":"front","serves":["front"],"ip":"%s","zone":"%s",
                "region":"region-1","zones":{"zone-1":"region-1","zone-2":"region-1"},
                "listen":{"front":"%s:%d","ready":"%s:%d"},"internal_ports":[%d,%d],"seeds":[],"bootstrap":true,
                "limits":{"cpu_share":0.57,"cores":1,"memory_mb":430,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0},
                "data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,
                "bounds":{"seed_lag_s":3,"reuse_after_s":2,"stable_window_ms":3000,"ack_ms":4000,"catch_up_s":4,
                "drain_ms":2000,"grace_s":8,"lost_ms":200,"config_ms":2000,"downgrade_ms":250,"outer_ms":5000,
                "strict_revocation":true,"revoke_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,
                "budget_slack":94,"recover_s":12,"pass_ms":120,"again_s":0,"stall_ms":1500,"require_fencing":false},
                "provider":{"address":"%s","form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20,
                "value_bytes":1048576,"ttl_min_ms":1000}}
                """
                .formatted(name, ip, zone, ip, front, ip, ready, peerPort, peerPort + 15, storeAddress);
        return program(name, "gateway", settings, new InetSocketAddress(ip, front), new InetSocketAddress(ip, ready));
    }

    private Program program(
            String name, String role, String settings, InetSocketAddress front, InetSocketAddress ready)
            throws IOException {
        Path file = directory.resolve(name + ".json");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("KINGCUPROAD_CONFIG", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()));
        Program program = new Program(name, builder, front, ready);
        programs.add(program);
        program.start();
        note("started " + name);
        return program;
    }

    /** Waits until a gateway says that it is ready. */
    void awaitReady(Program gateway) throws InterruptedException, IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            if (gateway.readiness() == 200) {
                note(gateway.name + " is ready");
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException(gateway.name + " did not become ready");
    }

    /** A connection of a client. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        final InputStream in;

        Client(InetSocketAddress address, int timeoutMs) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            socket.connect(address, 1_000);
            in = Http.buffered(socket.getInputStream());
        }

        void send(String method, String path, String id, long deadlineMs, Map<String, String> more, byte[] body)
                throws IOException {
            Map<String, String> headers = new java.util.LinkedHashMap<>();
            headers.put("Host", HOST);
            headers.put("Kingcuproad-Attempt-Id", id);
            headers.put("Kingcuproad-Deadline-Ms", String.valueOf(deadlineMs));
            headers.put("X-Api-Key", KEY);
            headers.putAll(more);
            socket.getOutputStream().write(Http.encode(method + " " + path + " HTTP/1.1", headers, body));
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Ends with the exit code of a case, after all that was started has ended. */
    void finish(int code, String verdict) throws Exception {
        note("verdict: " + verdict);
        System.out.println(verdict);
        close();
        System.exit(code);
    }

    @Override
    public void close() throws Exception {
        for (Program program : programs) {
            if (program.process != null) {
                program.process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            }
        }
        for (AutoCloseable closeable : open) {
            closeable.close();
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + directory);
        } else {
            try (var files = Files.list(directory)) {
                for (Path file : files.toList()) {
                    Files.deleteIfExists(file);
                }
            }
            Files.deleteIfExists(directory);
        }
        synchronized (record) {
            record.close();
        }
    }
}
