import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads HTTP/1.1 messages from blocking sockets. */
final class Http {

    private Http() {}

    /** Start line and headers of a message. */
    record Head(String startLine, List<String[]> headers) {

        Optional<String> header(String name) {
            return headers.stream()
                    .filter(header -> header[0].equalsIgnoreCase(name))
                    .map(header -> header[1])
                    .findFirst();
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }
    }

    /** A complete message; {@code whole} tells whether its end was read. */
    record Message(Head head, byte[] body, boolean whole) {

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Input of one connection. */
    static final class Input {

        private final InputStream in;

        Input(InputStream in) {
            this.in = new BufferedInputStream(in);
        }

        /** Reads a head, or returns null if the connection ends before one. */
        Head readHead() throws IOException {
            String start = readLine();
            if (start == null) {
                return null;
            }
            List<String[]> headers = new ArrayList<>();
            for (String line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
                int colon = line.indexOf(':');
                headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).strip()});
            }
            return new Head(start, headers);
        }

        private String readLine() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = in.read(); next >= 0; next = in.read()) {
                if (next == '\n') {
                    String text = line.toString(StandardCharsets.ISO_8859_1);
                    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
                }
                line.write(next);
            }
            return null;
        }

        /** Reads a request with its body. */
        Message readRequest() throws IOException {
            Head head = readHead();
            return head == null ? null : readBody(head, false);
        }

        /** Reads the body of a message. Without a length a response ends with its connection. */
        Message readBody(Head head, boolean response) throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            boolean whole;
            if (head.header("transfer-encoding").orElse("").equalsIgnoreCase("chunked")) {
                whole = readChunks(body);
            } else if (head.header("content-length").isPresent()) {
                int length = Integer.parseInt(head.header("content-length").get());
                byte[] bytes = in.readNBytes(length);
                body.writeBytes(bytes);
                whole = bytes.length == length;
            } else {
                if (response) {
                    body.writeBytes(in.readAllBytes());
                }
                whole = true;
            }
            return new Message(head, body.toByteArray(), whole);
        }

        private boolean readChunks(ByteArrayOutputStream body) {
            try {
                while (true) {
                    String size = readLine();
                    if (size == null) {
                        return false;
                    }
                    int length = Integer.parseInt(size.strip(), 16);
                    byte[] bytes = in.readNBytes(length);
                    body.writeBytes(bytes);
                    if (bytes.length < length || readLine() == null) {
                        return false;
                    }
                    if (length == 0) {
                        return true;
                    }
                }
            } catch (IOException | NumberFormatException broken) {
                return false;
            }
        }
    }
}
