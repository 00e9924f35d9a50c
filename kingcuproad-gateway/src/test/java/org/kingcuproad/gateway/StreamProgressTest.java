package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against ending streams that are slow but sound, and against keeping stalled ones that send some bytes. */
class StreamProgressTest {

    private static final int PAUSE_MS = 50;
    private static final int BACKGROUND_EVENTS = 60;

    private final GatewayFixture fixture;

    StreamProgressTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static void writeEvents(StreamingUpstream.Output output, int from, int until, String data, long pauseMs)
            throws IOException, InterruptedException {
        for (int id = from; id <= until; id++) {
            output.writeChunk("id: " + id + "\ndata: " + data + "\n\n");
            Thread.sleep(pauseMs);
        }
        output.write("0\r\n\r\n");
    }

    /** Keeps another stream of the service active, since a stream counts as stalled only while others progress. */
    private Thread startBackgroundStream() {
        Thread thread = new Thread(() -> {
            try {
                fixture.post("/STREAMING/background", "background", "prompt");
            } catch (IOException ended) {
                // The test has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static boolean isBackground(String request) {
        return request.startsWith("POST /STREAMING/background");
    }

    /** Guards against taking comments, which an upstream may send to keep a connection open, for progress. */
    @Test
    void resumesAStreamThatSendsOnlyComments() throws Exception {
        StreamingUpstream.Script script = (request, output) -> {
            output.writeStreamHead(request);
            if (isBackground(request)) {
                writeEvents(output, 1, BACKGROUND_EVENTS, "b", PAUSE_MS);
            } else if (FakeUpstream.header(request, "Last-Event-Id").isEmpty()) {
                output.writeChunk("id: 1\ndata: e\n\n");
                while (true) {
                    output.writeChunk(": keep-alive\n\n");
                    Thread.sleep(PAUSE_MS);
                }
            } else {
                writeEvents(output, 2, 3, "e", 0);
            }
        };
        fixture.streamingUpstream(script);
        fixture.streamingUpstream(script);
        fixture.start();
        startBackgroundStream();

        RawResponse response = fixture.post("/STREAMING/draft", "r1", "prompt");

        assertThat(response.body()
                        .lines()
                        .filter(line -> line.startsWith("id:"))
                        .toList())
                .containsExactly("id: 1", "id: 2", "id: 3");
    }

    /**
     * Guards against taking a client that reads slowly for a stalled upstream: its stream was started again elsewhere
     * while the upstream still had the rest of it.
     */
    @Test
    void keepsTheUpstreamOfAClientThatReadsSlowly() throws Exception {
        String data = "x".repeat(64_000);
        int events = 200;
        StreamingUpstream.Script script = (request, output) -> {
            output.writeStreamHead(request);
            if (isBackground(request)) {
                writeEvents(output, 1, BACKGROUND_EVENTS, "b", PAUSE_MS);
            } else {
                writeEvents(output, 1, events, data, 0);
            }
        };
        StreamingUpstream first = fixture.streamingUpstream(script);
        StreamingUpstream second = fixture.streamingUpstream(script);
        fixture.start();
        startBackgroundStream();

        RawResponse response;
        try (Socket socket = fixture.open()) {
            socket.getOutputStream()
                    .write(GatewayFixture.postRequest("/STREAMING/draft", "r1", "prompt")
                            .getBytes(StandardCharsets.UTF_8));
            Thread.sleep(1_100);
            response = RawResponse.read(socket.getInputStream());
        }

        assertThat(response.body()
                        .lines()
                        .filter(line -> line.startsWith("id:"))
                        .count())
                .isEqualTo(events);
        assertThat(first.requests().size() + second.requests().size())
                .as("requests of the slow reader and the background stream")
                .isEqualTo(2);
    }

    /** Guards against ending a stream whose events are far apart but regular, because other streams are faster. */
    @Test
    void keepsAStreamWhoseEventsAreFarApart() throws Exception {
        StreamingUpstream.Script regular = (request, output) -> {
            output.writeStreamHead(request);
            if (isBackground(request)) {
                writeEvents(output, 1, BACKGROUND_EVENTS, "b", PAUSE_MS);
                return;
            }
            output.writeChunk("id: 1\ndata: e\n\n");
            Thread.sleep(300);
            output.writeChunk("id: 2\ndata: e\n\n");
            Thread.sleep(420);
            output.writeChunk("id: 3\ndata: e\n\n");
            Thread.sleep(600);
            output.writeChunk("id: 4\ndata: e\n\n");
            output.write("0\r\n\r\n");
        };
        StreamingUpstream first = fixture.streamingUpstream(regular);
        StreamingUpstream second = fixture.streamingUpstream(regular);
        fixture.start();
        startBackgroundStream();

        RawResponse response = fixture.post("/STREAMING/draft", "r1", "prompt");

        assertThat(response.body()
                        .lines()
                        .filter(line -> line.startsWith("id:"))
                        .toList())
                .containsExactly("id: 1", "id: 2", "id: 3", "id: 4");
        assertThat(first.requests().size() + second.requests().size()).isEqualTo(2);
    }

    /** Guards against cutting off a silent stream although no other upstream can continue it. */
    @Test
    void keepsASilentStreamIfThereIsNoOtherUpstream() throws Exception {
        fixture.streamingUpstream((request, output) -> {
            output.writeStreamHead(request);
            if (isBackground(request)) {
                writeEvents(output, 1, BACKGROUND_EVENTS, "b", PAUSE_MS);
                return;
            }
            output.writeChunk("id: 1\ndata: e\n\n");
            Thread.sleep(700);
            writeEvents(output, 2, 3, "e", 0);
        });
        fixture.start();
        startBackgroundStream();

        RawResponse response = fixture.post("/STREAMING/draft", "r1", "prompt");

        assertThat(response.body()
                        .lines()
                        .filter(line -> line.startsWith("id:"))
                        .toList())
                .containsExactly("id: 1", "id: 2", "id: 3");
    }

    /** Guards against ending a request of a silent upstream early although no other upstream can serve it. */
    @Test
    void keepsASilentLookupIfThereIsNoOtherUpstream() throws Exception {
        fixture.upstream(request -> {
            sleep(1_500);
            return GatewayFixture.ok(request, "stock");
        });
        fixture.start();

        assertThat(fixture.get("/IDEMPOTENT/a", "k1", "r1").body()).isEqualTo("stock");
    }

    private static void sleep(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
