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
     * @param kept whether the connection stays open for another request instead of ending
     */
    record Part(String text, End end, boolean underTest, boolean kept) {

        Part(String text, End end, boolean underTest) {
            this(text, end, underTest, false);
        }

        /** Creates a whole response after which the connection can be used again. */
        static Part whole(String text) {
            return new Part(text, End.CLOSED, false, true);
        }
    }

    /** Decides what an upstream writes. */
    interface Script {

        /**
         * Returns the response to a request.
         *
         * @param earlierId id of the request before on the same connection, or empty
         */
        Part respond(String request, String earlierId);
    }

    private final List<ServerSocket> sockets = new ArrayList<>();
    private final Script script;
    private final Set<String> cutRequests = ConcurrentHashMap.newKeySet();

    CutUpstream(int count, Script script) throws IOException {
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
            String earlierId = "";
            Part part;
            do {
                String request = FakeUpstream.read(accepted.getInputStream());
                if (request.isEmpty()) {
                    return;
                }
                part = script.respond(request, earlierId);
                OutputStream stream = accepted.getOutputStream();
                stream.write(part.text.getBytes(StandardCharsets.UTF_8));
                earlierId = FakeUpstream.header(request, "X-Request");
                if (part.underTest) {
                    cutRequests.add(earlierId);
                }
            } while (part.kept);
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
