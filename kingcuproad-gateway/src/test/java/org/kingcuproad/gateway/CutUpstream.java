package org.kingcuproad.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** Upstreams that write a part of each response and then end the connection. */
final class CutUpstream implements AutoCloseable {

    /** Time for the gateway to read what was written, before a connection is reset or closed late. */
    private static final long PAUSE_MS = 15;

    /** How a connection ends. */
    enum End {
        CLOSED,
        CLOSED_AFTER_A_PAUSE,
        RESET
    }

    /**
     * Bytes of a response that are written, and the end of the connection after them.
     *
     * @param text the bytes
     * @param end how the connection ends
     * @param underTest whether the response is one of those that are counted
     */
    record Part(String text, End end, boolean underTest) {}

    private final List<ServerSocket> sockets = new ArrayList<>();
    private final Function<String, Part> script;
    private final Set<String> cutRequests = ConcurrentHashMap.newKeySet();

    CutUpstream(int count, Function<String, Part> script) throws IOException {
        this.script = script;
        for (int index = 0; index < count; index++) {
            ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            sockets.add(socket);
            start(() -> acceptAll(socket));
        }
    }

    List<Integer> ports() {
        return sockets.stream().map(ServerSocket::getLocalPort).toList();
    }

    /** Returns whether the response to a request was cut. */
    boolean cut(String requestId) {
        return cutRequests.contains(requestId);
    }

    private static void start(Runnable work) {
        Thread.ofVirtual().start(work);
    }

    private void acceptAll(ServerSocket socket) {
        try {
            while (true) {
                Socket accepted = socket.accept();
                start(() -> serve(accepted));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private void serve(Socket accepted) {
        try (accepted) {
            accepted.setTcpNoDelay(true);
            String request = FakeUpstream.read(accepted.getInputStream());
            if (request.isEmpty()) {
                return;
            }
            Part part = script.apply(request);
            OutputStream stream = accepted.getOutputStream();
            stream.write(part.text.getBytes(StandardCharsets.UTF_8));
            if (part.underTest) {
                cutRequests.add(FakeUpstream.header(request, "X-Request"));
            }
            if (part.end != End.CLOSED) {
                Thread.sleep(PAUSE_MS);
            }
            if (part.end == End.RESET) {
                accepted.setSoLinger(true, 0);
            }
        } catch (IOException closed) {
            // The gateway has closed the connection.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket socket : sockets) {
            socket.close();
        }
    }
}
