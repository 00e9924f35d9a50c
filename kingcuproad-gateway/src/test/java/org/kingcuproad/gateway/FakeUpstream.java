package org.kingcuproad.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** Upstream that responds to each request with raw text, and can then close the connection. */
final class FakeUpstream implements AutoCloseable {

    /** Scripted reaction to a request: the bytes to send, and whether to close the connection afterwards. */
    record Reply(String text, boolean close) {}

    private final ServerSocket socket;
    private final Function<String, Reply> script;
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final CountDownLatch disconnected = new CountDownLatch(1);
    private final AtomicInteger connections = new AtomicInteger();

    FakeUpstream(Function<String, Reply> script) throws IOException {
        this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        this.script = script;
        start(this::acceptAll);
    }

    int port() {
        return socket.getLocalPort();
    }

    List<String> requests() {
        return requests;
    }

    int connections() {
        return connections.get();
    }

    /** Returns a latch that counts down when a client closes a connection. */
    CountDownLatch disconnected() {
        return disconnected;
    }

    /** Returns the value of a header, or an empty string if it is absent. */
    static String header(String request, String name) {
        return request.lines()
                .filter(line -> line.toLowerCase(java.util.Locale.ROOT)
                        .startsWith(name.toLowerCase(java.util.Locale.ROOT) + ":"))
                .map(line -> line.substring(name.length() + 1).strip())
                .findFirst()
                .orElse("");
    }

    /** Creates a complete response to a request. */
    static String response(String requestId, int status, String extraHeaders, String body) {
        return "HTTP/1.1 " + status + " X\r\nX-Request: " + requestId + "\r\n" + extraHeaders + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    private static void start(Runnable work) {
        Thread thread = new Thread(work, "fake-upstream");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket accepted = socket.accept();
                connections.incrementAndGet();
                start(() -> serve(accepted));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private void serve(Socket accepted) {
        try (accepted) {
            while (true) {
                String request = read(accepted.getInputStream());
                if (request.isEmpty()) {
                    disconnected.countDown();
                    return;
                }
                requests.add(request);
                Reply reply = script.apply(request);
                accepted.getOutputStream().write(reply.text.getBytes(StandardCharsets.UTF_8));
                accepted.getOutputStream().flush();
                if (reply.close) {
                    return;
                }
            }
        } catch (IOException reset) {
            disconnected.countDown();
        }
    }

    /** Reads a request, or returns an empty string at the end of the connection. */
    static String read(InputStream input) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.UTF_8).endsWith("\r\n\r\n")) {
            int next = input.read();
            if (next < 0) {
                return "";
            }
            head.write(next);
        }
        String text = head.toString(StandardCharsets.UTF_8);
        String length = header(text, "Content-Length");
        byte[] body = input.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        return text + new String(body, StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
