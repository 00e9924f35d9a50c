import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.UUID;

/** Client that sends one request on a connection. */
final class Client {

    /** What a client saw: status 0 if there was no head, and whether the answer was complete. */
    record Answer(String attempt, int status, boolean whole, String body, Http.Head head) {

        boolean served() {
            return status == 200 && whole && head.header("Kingcuproad-Server-Seal").isPresent();
        }
    }

    private Client() {}

    static String newAttempt() {
        return UUID.randomUUID().toString().substring(0, 16);
    }

    /**
     * Sends a request on a new connection and reads its answer.
     *
     * @param headers further header lines, each with its line end
     * @param waitMs time that the client waits
     */
    static Answer send(
            InetSocketAddress gateway,
            String method,
            String path,
            String attempt,
            String headers,
            String body,
            int waitMs) {
        Http.Head head = null;
        try (Socket socket = new Socket()) {
            socket.connect(gateway, 1_000);
            socket.setSoTimeout(waitMs);
            socket.setTcpNoDelay(true);
            OutputStream out = socket.getOutputStream();
            String length = body.isEmpty() && method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n";
            out.write((method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nKingcuproad-Attempt-Id: " + attempt
                            + "\r\nKingcuproad-Deadline-Ms: " + waitMs + "\r\n" + headers + length + "\r\n" + body)
                    .getBytes(StandardCharsets.UTF_8));
            out.flush();
            Http.Input in = new Http.Input(socket.getInputStream());
            head = in.readHead();
            if (head == null) {
                return new Answer(attempt, 0, false, "", null);
            }
            Http.Message message = in.readBody(head, true);
            return new Answer(attempt, head.status(), message.whole(), message.text(), head);
        } catch (IOException failed) {
            return new Answer(attempt, head == null ? 0 : head.status(), false, String.valueOf(failed), head);
        }
    }
}
