package org.kingcuproad.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Client of a sound service, which measures for how long its requests wait. */
final class SteadyClient {

    private static final long INTERVAL_MS = 20;
    private static final int READ_TIMEOUT_MS = 5_000;
    private static final int OK = 200;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final long NS_PER_MS = 1_000_000;

    private final InetSocketAddress address;
    private final Thread thread;
    private final List<String> failures = new CopyOnWriteArrayList<>();
    private volatile boolean stopping;
    private volatile long longestWaitMs;

    /** Starts a client of a gateway. */
    SteadyClient(InetSocketAddress address) {
        this.address = address;
        this.thread = new Thread(this::run, "steady-client");
        thread.start();
    }

    private void run() {
        while (!stopping) {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                socket.setSoTimeout(READ_TIMEOUT_MS);
                while (!stopping) {
                    send(socket);
                    Thread.sleep(INTERVAL_MS);
                }
            } catch (IOException failed) {
                failures.add(failed.toString());
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void send(Socket socket) throws IOException {
        long sentNs = System.nanoTime();
        try {
            socket.getOutputStream()
                    .write("GET /STEADY/a HTTP/1.1\r\nHost: office.example\r\nX-Request: s\r\nX-Key: k1\r\n\r\n"
                            .getBytes(StandardCharsets.UTF_8));
            RawResponse response = RawResponse.readMessage(socket.getInputStream());
            // A timeout shows in the longest wait.
            if (response.status() != OK && response.status() != GATEWAY_TIMEOUT) {
                failures.add(response.status() + " " + response.body());
            }
        } finally {
            longestWaitMs = Math.max(longestWaitMs, (System.nanoTime() - sentNs) / NS_PER_MS);
        }
    }

    /** Stops sending and waits for the last answer. */
    void stop() throws InterruptedException {
        stopping = true;
        thread.join();
    }

    /** Returns what the client got instead of successes. */
    List<String> failures() {
        return failures;
    }

    /** Returns the longest time that a request waited for its answer, in milliseconds. */
    long longestWaitMs() {
        return longestWaitMs;
    }
}
