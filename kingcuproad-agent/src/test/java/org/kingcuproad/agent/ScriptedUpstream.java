package org.kingcuproad.agent;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** An upstream over TCP that writes any bytes; its script sees every request of a connection with its number. */
final class ScriptedUpstream implements AutoCloseable {

    private final ServerSocket socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final Script script;

    ScriptedUpstream(Script script) throws IOException {
        this.script = script;
        Thread.ofVirtual().start(this::acceptAll);
    }

    /** Starts an agent of this upstream. */
    Agent startAgent() throws Exception {
        return Agent.start(
                AgentOptions.of("u-1", "http://127.0.0.1:" + socket.getLocalPort(), AgentFixture.INCARNATION)
                        .withTiming(AgentTiming.standard().withIdleLimitMs(1_000)),
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket accepted = socket.accept();
                Thread.ofVirtual().start(() -> serve(accepted));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private void serve(Socket accepted) {
        try (accepted) {
            accepted.setTcpNoDelay(true);
            for (int number = 1; ; number++) {
                String head = readHead(accepted.getInputStream());
                if (!script.respond(number, head, accepted)) {
                    return;
                }
            }
        } catch (IOException closed) {
            // The agent has closed the connection.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static String readHead(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = input.read();
            if (next < 0) {
                throw new IOException("the connection ended before the request");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** Answers one request. */
    @FunctionalInterface
    interface Script {

        /**
         * Writes what the upstream sends for a request.
         *
         * @param number number of the request on its connection, from 1
         * @param request head of the request
         * @param connection the connection, from which the head was read
         * @return whether another request may follow on the connection
         * @throws IOException if the agent has closed the connection
         * @throws InterruptedException if the test has ended
         */
        boolean respond(int number, String request, Socket connection) throws IOException, InterruptedException;
    }
}
