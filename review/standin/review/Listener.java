package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on a loopback address that serves each connection on a thread of its own. */
abstract class Listener implements AutoCloseable {

    private final InetSocketAddress address;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private volatile ServerSocket listener;

    Listener(String host) throws IOException {
        listener = new ServerSocket(0, 512, InetAddress.getByName(host));
        address = new InetSocketAddress(host, listener.getLocalPort());
    }

    final void start() {
        ServerSocket current = listener;
        Thread.ofVirtual().start(() -> accept(current));
    }

    final String address() {
        return address.getHostString() + ":" + address.getPort();
    }

    final int connectionCount() {
        return connections.size();
    }

    private void accept(ServerSocket current) {
        try {
            while (true) {
                Socket connection = current.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                Thread.ofVirtual().start(() -> serve(connection));
            }
        } catch (IOException closed) {
            // The listener was closed.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            InputStream in = Http.buffered(connection.getInputStream());
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                if (!serve(request, connection)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException ended) {
            // The caller or the case ended the connection.
        } finally {
            connections.remove(connection);
        }
    }

    /** Serves a request; returns whether to keep the connection. */
    abstract boolean serve(Http.Message request, Socket connection) throws IOException, InterruptedException;

    /** Stops listening and resets all connections, as the crash of a process does. */
    final synchronized void crash() {
        try {
            listener.close();
        } catch (IOException ignored) {
            // It was closed already.
        }
        connections.forEach(connection -> {
            try {
                connection.setSoLinger(true, 0);
                connection.close();
            } catch (IOException ignored) {
                // It has ended already.
            }
        });
    }

    /** Listens at the same address again. */
    final synchronized void restart() throws IOException {
        ServerSocket again = new ServerSocket();
        again.setReuseAddress(true);
        again.bind(address, 512);
        listener = again;
        start();
    }

    @Override
    public void close() {
        crash();
    }
}
