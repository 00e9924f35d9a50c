package org.kingcuproad.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** A gateway in a process of its own, with the memory of the deploy file. Its upstreams are in the test's process. */
final class GatewayProcess implements AutoCloseable {

    private static final List<String> JVM_OPTIONS = List.of(
            "-Xmx96m",
            "-Xms32m",
            "-XX:+UseSerialGC",
            "-XX:-UsePerfData",
            "-XX:TieredStopAtLevel=1",
            "-Xss256k",
            "-XX:ReservedCodeCacheSize=32m",
            "-XX:MaxDirectMemorySize=64m",
            "-XX:+UseCompactObjectHeaders",
            "-Dio.netty.allocator.maxOrder=3",
            "-Dio.netty.allocator.numDirectArenas=1",
            "-Dio.netty.noUnsafe=true");

    private static final String LOOKUP_SERVICE = "stock";
    private static final String STARTED = "started ";
    private static final String MEMORY_FAILURE = "OutOfMemoryError";
    private static final int READ_TIMEOUT_MS = 20_000;

    private final Process process;
    private final InetSocketAddress address;
    private final InetSocketAddress readyAddress;
    private final Queue<String> memoryFailures = new ConcurrentLinkedQueue<>();

    private GatewayProcess(Process process, BufferedReader output) throws IOException {
        this.process = process;
        String line = output.readLine();
        while (line != null && !line.startsWith(STARTED)) {
            line = output.readLine();
        }
        if (line == null) {
            throw new IOException("the gateway has ended");
        }
        String[] parts = line.substring(STARTED.length()).split(" ");
        this.address = new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
        this.readyAddress = new InetSocketAddress(parts[0], Integer.parseInt(parts[2]));
        Thread.ofVirtual().start(() -> readLog(output));
    }

    /**
     * Starts a gateway and waits until it is ready.
     *
     * @param maxBodyBytes maximum size of a request body, in bytes
     * @param orderUpstreams upstreams of orders and streams; each takes four requests at once
     * @param lookupUpstreams upstreams of lookups
     */
    static GatewayProcess start(
            int maxBodyBytes, List<StreamingUpstream> orderUpstreams, List<StreamingUpstream> lookupUpstreams)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), GatewayProcess.class.getName()));
        command.addAll(List.of(String.valueOf(maxBodyBytes), ports(orderUpstreams), ports(lookupUpstreams)));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        try {
            return new GatewayProcess(
                    process,
                    new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8)));
        } catch (IOException failed) {
            process.destroyForcibly();
            throw failed;
        }
    }

    private static String ports(List<StreamingUpstream> upstreams) {
        return upstreams.stream()
                .map(upstream -> String.valueOf(upstream.port()))
                .collect(Collectors.joining(","));
    }

    /** Runs the gateway until the process is ended. */
    public static void main(String[] arguments) throws Exception {
        GatewayFixture fixture = new GatewayFixture();
        fixture.setMaxBodyBytes(Integer.parseInt(arguments[0]));
        fixture.setLogOutput(System.out);
        fixture.setLookupService(LOOKUP_SERVICE);
        Stream.of(arguments[1].split(",")).map(Integer::valueOf).forEach(port -> fixture.addEntry("127.0.0.1", port));
        Stream.of(arguments[2].split(","))
                .map(Integer::valueOf)
                .forEach(port -> fixture.addEntry(LOOKUP_SERVICE, "127.0.0.1", port));
        fixture.start();
        System.out.println(STARTED + fixture.address().getHostString() + " "
                + fixture.address().getPort() + " " + fixture.readyAddress().getPort());
    }

    private void readLog(BufferedReader output) {
        try {
            for (String line = output.readLine(); line != null; line = output.readLine()) {
                if (line.contains(MEMORY_FAILURE)) {
                    memoryFailures.add(line);
                }
            }
        } catch (IOException closed) {
            // The process has ended.
        }
    }

    /** Returns the lines of the log that report failed allocations. */
    List<String> memoryFailures() {
        return List.copyOf(memoryFailures);
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Returns the largest resident memory of the process so far, in megabytes. */
    long peakMemoryMb() throws IOException {
        Optional<String> line = Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                .filter(text -> text.startsWith("VmHWM:"))
                .findFirst();
        return Long.parseLong(line.orElseThrow().replaceAll("[^0-9]", "")) >> 10;
    }

    Socket open() throws IOException {
        Socket socket = new Socket();
        socket.setSoTimeout(READ_TIMEOUT_MS);
        socket.connect(address);
        return socket;
    }

    /** Returns the status of the readiness check. */
    int readiness() throws IOException {
        try (Socket socket = new Socket()) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.connect(readyAddress);
            socket.getOutputStream()
                    .write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.UTF_8));
            return RawResponse.read(socket.getInputStream()).status();
        }
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
