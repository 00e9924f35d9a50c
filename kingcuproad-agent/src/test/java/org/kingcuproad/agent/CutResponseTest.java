package org.kingcuproad.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.kingcuproad.wire.proto.Dispatch;

/** Guards against a response that is reported as complete although the upstream's response was cut. */
class CutResponseTest {

    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
    private static final String FIELDS = "Content-Type: application/json\r\n";
    private static final String BODY = "{\"order\":1,\"items\":[2]}";
    private static final int CLIENTS = 8;

    /** Calls after which a response has to have ended. */
    private static final int MAX_CALLS = 5;

    /** Time for the agent to read what was written, before a connection is reset or closed late. */
    private static final long PAUSE_MS = 15;

    /** A whole response of an upstream. */
    enum Shape {
        LENGTH,
        CHUNKS,
        CONNECTION,
        STATUS_LINE_ONLY,
        AFTER_INFORMATIONAL,
        REPEATED;

        private String text() {
            String withLength = STATUS_LINE + FIELDS + "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY;
            String inChunks = STATUS_LINE + FIELDS + "Transfer-Encoding: chunked\r\n\r\n8\r\n" + BODY.substring(0, 8)
                    + "\r\n" + Integer.toHexString(BODY.length() - 8) + "\r\n" + BODY.substring(8) + "\r\n0\r\n\r\n";
            return switch (this) {
                case LENGTH -> withLength;
                case CHUNKS -> inChunks;
                case CONNECTION -> STATUS_LINE + FIELDS + "\r\n" + BODY;
                case STATUS_LINE_ONLY -> STATUS_LINE + "\r\n";
                case AFTER_INFORMATIONAL -> "HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n" + inChunks;
                case REPEATED -> withLength + withLength;
            };
        }
    }

    /** How a connection ends. */
    enum End {
        CLOSED,
        CLOSED_AFTER_A_PAUSE,
        RESET
    }

    /** An upstream that writes as many bytes of a response as the path of the request says. */
    private static final class CutUpstream implements AutoCloseable {

        private final ServerSocket socket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        private final String text;
        private final End end;

        private CutUpstream(String text, End end) throws IOException {
            this.text = text;
            this.end = end;
            Thread.ofVirtual().start(this::acceptAll);
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
                int cut = readCut(accepted.getInputStream());
                accepted.getOutputStream().write(text.substring(0, cut).getBytes(StandardCharsets.UTF_8));
                if (end != End.CLOSED) {
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
                }
                if (end == End.RESET) {
                    accepted.setSoLinger(true, 0);
                }
            } catch (IOException closed) {
                // The agent has closed the connection.
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }

        /** Reads the head of a request without a body. */
        private static int readCut(InputStream input) throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = input.read();
                if (next < 0) {
                    throw new IOException("the connection ended before the request");
                }
                head.append((char) next);
            }
            return Integer.parseInt(head.substring(head.indexOf("/") + 1, head.indexOf(" HTTP/")));
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static Stream<Arguments> cuts() {
        return Arrays.stream(Shape.values())
                .flatMap(shape -> Arrays.stream(End.values()).map(end -> Arguments.of(shape, end)));
    }

    /** Reads a response as an entry does, which goes on with another call if the agent abandons one. */
    private static ResponseReader read(Agent agent, int cut) throws InterruptedException {
        String requestId = "r-" + cut;
        Dispatch.Builder dispatch = ExecuteClient.dispatch(requestId, AgentFixture.INCARNATION, "GET", "/" + cut, "")
                .setIdempotent(cut % 2 == 0);
        ResponseReader reader = new ResponseReader();
        for (int calls = 0; calls < MAX_CALLS; calls++) {
            try (ExecuteClient client = new ExecuteClient(agent.port())) {
                if (reader.accepted()) {
                    client.send(reader.resume(requestId, AgentFixture.INCARNATION));
                } else {
                    client.send(dispatch);
                }
                if (reader.readUntilAbandoned(client)) {
                    return reader;
                }
            }
        }
        throw new AssertionError("the agent abandoned " + MAX_CALLS + " calls for one response");
    }

    private static boolean succeeded(ResponseReader reader) {
        return reader.completed() && reader.status() < 300;
    }

    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("cuts")
    void neverReportsACutResponseAsComplete(Shape shape, End end) throws Exception {
        String text = shape.text();
        int wholeBytes = text.indexOf(BODY) + BODY.length();
        List<String> wrong = new ArrayList<>();
        int complete = 0;
        try (CutUpstream upstream = new CutUpstream(text, end);
                ExecutorService clients = Executors.newFixedThreadPool(CLIENTS)) {
            Agent agent = Agent.start(
                    AgentOptions.of(
                                    "u-1",
                                    "http://127.0.0.1:" + upstream.socket.getLocalPort(),
                                    AgentFixture.INCARNATION)
                            .withTiming(AgentTiming.standard())
                            .withCapacity(2 * CLIENTS, CLIENTS)
                            .withMaxRemembered(text.length() + 1),
                    () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
            try {
                List<Future<ResponseReader>> results = IntStream.rangeClosed(0, text.length())
                        .mapToObj(cut -> clients.submit(() -> read(agent, cut)))
                        .toList();
                for (int cut = 0; cut <= text.length(); cut++) {
                    ResponseReader reader = results.get(cut).get();
                    if (succeeded(reader)) {
                        complete++;
                        if (!reader.text().equals(BODY)) {
                            wrong.add("cut after " + cut + " of " + text.length() + " bytes: status " + reader.status()
                                    + ", body '" + reader.text() + "'");
                        }
                    }
                }
            } finally {
                agent.close();
            }
        }
        assertThat(wrong).as("complete responses with another body").isEmpty();
        if (end != End.RESET && (shape == Shape.LENGTH || shape == Shape.CHUNKS)) {
            assertThat(complete)
                    .as("complete responses, cut at %d bytes or later", wholeBytes)
                    .isPositive();
        }
    }
}
