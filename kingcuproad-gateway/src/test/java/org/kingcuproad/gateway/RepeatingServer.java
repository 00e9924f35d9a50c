package org.kingcuproad.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/** Server that sends each response twice, the second time at the point where the next response is expected. */
public final class RepeatingServer implements AutoCloseable {

    /** Time after which bytes are read separately from those that were sent before. */
    private static final long PAUSE_MS = 10;

    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Function<String, String> responses;

    /**
     * Starts a server.
     *
     * @param responses returns the response to a request
     * @throws IOException if no port is available
     */
    public RepeatingServer(Function<String, String> responses) throws IOException {
        this.responses = responses;
        Thread.ofVirtual().start(this::acceptAll);
    }

    /**
     * Returns the address to connect to.
     *
     * @return a loopback address
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    /**
     * Creates a complete response.
     *
     * @param status HTTP status
     * @param body the body, in ASCII
     * @return its bytes
     */
    public static String response(int status, String body) {
        return "HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
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
            OutputStream output = accepted.getOutputStream();
            String last = "";
            String request = FakeUpstream.read(accepted.getInputStream());
            while (!request.isEmpty()) {
                output.write(last.getBytes(StandardCharsets.UTF_8));
                Thread.sleep(PAUSE_MS);
                last = responses.apply(request);
                output.write(last.getBytes(StandardCharsets.UTF_8));
                request = FakeUpstream.read(accepted.getInputStream());
            }
        } catch (IOException closed) {
            // The client has closed the connection.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
