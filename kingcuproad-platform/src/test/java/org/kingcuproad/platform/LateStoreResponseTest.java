package org.kingcuproad.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against taking a late copy of the store's response for the response to the next write, such as a claim. */
class LateStoreResponseTest {

    private static final String WRITTEN = "HTTP/1.1 201 Created\r\nETag: \"1\"\r\nContent-Length: 0\r\n\r\n";
    private static final String CONFLICT =
            "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 20\r\n\r\n{\"currentVersion\":7}";
    private static final long ENDED_WITHIN_MS = 5_000;
    private static final long BEFORE_THE_RESPONSE_MS = 60;

    @Test
    void reportsTheConflictOfTheNextWrite() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
            Thread.ofVirtual().start(() -> acceptAll(server));
            ObjectStore store =
                    HttpObjectStore.open(ObjectStoreSettings.of("http://127.0.0.1:" + server.getLocalPort()));

            assertThat(create(store, "a")).isEqualTo(new WriteResult.Written(1));
            assertThat(create(store, "b")).isEqualTo(new WriteResult.VersionConflict(7));
            store.close();
        }
    }

    private static WriteResult create(ObjectStore store, String key) throws Exception {
        return store.create(key, new byte[0]).get(ENDED_WITHIN_MS, TimeUnit.MILLISECONDS);
    }

    private static void acceptAll(ServerSocket server) {
        try {
            while (true) {
                Socket connection = server.accept();
                Thread.ofVirtual().start(() -> serve(connection));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    /** Writes object a, and says so again before it refuses to write object b on the same connection. */
    private static void serve(Socket connection) {
        try (connection) {
            BufferedReader input =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
            boolean reused = false;
            for (String line = input.readLine(); line != null; line = input.readLine()) {
                boolean first = line.startsWith("PUT /objects/a ");
                while (!line.isEmpty()) {
                    line = input.readLine();
                }
                if (reused) {
                    write(connection, WRITTEN);
                    TimeUnit.MILLISECONDS.sleep(BEFORE_THE_RESPONSE_MS);
                }
                write(connection, first ? WRITTEN : CONFLICT);
                reused = true;
            }
        } catch (IOException closed) {
            // The client has closed the connection.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }
}
