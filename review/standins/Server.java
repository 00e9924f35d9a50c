import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stand-in for a server of a service. It rejects requests for another instance, and leaves the rest to its behaviour.
 */
final class Server implements AutoCloseable {

    /** What a server does with a request that is meant for it. */
    interface Behaviour {

        /**
         * Answers a request.
         *
         * @return whether the connection stays open for another request
         */
        boolean answer(Server server, Http.Message request, OutputStream out) throws IOException, InterruptedException;
    }

    private final Record record;
    private final String id;
    private final Behaviour behaviour;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final long bornMs = System.currentTimeMillis();
    private volatile boolean ended;

    Server(Record record, String id, InetSocketAddress address, Behaviour behaviour) throws IOException {
        this.record = record;
        this.id = id;
        this.behaviour = behaviour;
        this.listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(address, 200);
        Thread.startVirtualThread(this::accept);
    }

    static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    String id() {
        return id;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns the entry by which the server registers itself. */
    String entry(String service, int slots, String state) {
        return """
                {"service":"%s","address":"%s:%d","zone":"a","version":"v1","slots":%d,"state":"%s","cold_remaining_ms":0,"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"sequence":1,"born":%d}"""
                .formatted(
                        service,
                        address().getAddress().getHostAddress(),
                        address().getPort(),
                        slots,
                        state,
                        bornMs);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                sockets.add(socket);
                Thread.startVirtualThread(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            Http.Input in = new Http.Input(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = in.readRequest(); request != null; request = in.readRequest()) {
                String attempt = attempt(request);
                String expected =
                        request.head().header("Kingcuproad-Expect-Instance").orElse(id);
                if (!expected.equals(id)) {
                    record.line("server %s rejects %s, which expects instance %s", id, attempt, expected);
                    write(
                            out,
                            "HTTP/1.1 421 Misdirected Request\r\nKingcuproad-Attempt-Id: " + attempt
                                    + "\r\nKingcuproad-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                } else if (!behaviour.answer(this, request, out)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException ended) {
            // The gateway closed the connection, or the server has ended.
        } finally {
            sockets.remove(socket);
        }
    }

    static String attempt(Http.Message request) {
        return request.head().header("Kingcuproad-Attempt-Id").orElse("");
    }

    /** Returns the head lines that every successful answer to a request has. */
    static String success(Http.Message request, String contentType) {
        return "HTTP/1.1 200 OK\r\nKingcuproad-Attempt-Id: " + attempt(request) + "\r\nKingcuproad-Server-Seal: seal-"
                + attempt(request) + "\r\nContent-Type: " + contentType + "\r\n";
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    boolean ended() {
        return ended;
    }

    /** Ends like a process that crashes: the port is closed first, then all connections are reset. */
    void crash() throws IOException {
        ended = true;
        listener.close();
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException closed) {
                // It has been closed meanwhile.
            }
        }
    }

    @Override
    public void close() throws IOException {
        crash();
    }
}
