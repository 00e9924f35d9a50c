package org.kingcuproad.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against streams that end as complete although an event was passed over because of its id. */
class EventOrderTest {

    private static final String TERMINATOR = "0\r\n\r\n";

    private final GatewayFixture fixture;

    EventOrderTest() throws IOException {
        fixture = new GatewayFixture();
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private static StreamingUpstream.Script events(long... idsInOrder) {
        return (request, output) -> {
            output.writeStreamHead(request);
            String lastEventId = FakeUpstream.header(request, "Last-Event-Id");
            long[] ids = lastEventId.isEmpty()
                    ? idsInOrder
                    : LongStream.rangeClosed(Long.parseLong(lastEventId) + 1, 4).toArray();
            for (long id : ids) {
                output.writeChunk("id: " + id + "\ndata: e\n\n");
            }
            output.write(TERMINATOR);
        };
    }

    private String received() throws IOException {
        return new String(
                fixture.received(GatewayFixture.postRequest("/STREAMING/draft", "r1", "prompt")),
                StandardCharsets.UTF_8);
    }

    @Test
    void completesNoStreamWhoseOnlyUpstreamSendsEventsOutOfOrder() throws Exception {
        fixture.streamingUpstream(events(1, 3, 2, 4));
        fixture.start();

        assertThat(received()).contains("id: 3").doesNotContain("id: 4").doesNotEndWith(TERMINATOR);
    }

    @Test
    void resumesAStreamThatStartsAgainAtAnotherUpstream() throws Exception {
        StreamingUpstream.Script script = events(1, 2, 1, 2, 3, 4);
        fixture.streamingUpstream(script);
        fixture.streamingUpstream(script);
        fixture.start();

        String received = received();
        List<String> ids =
                received.lines().filter(line -> line.startsWith("id:")).toList();
        assertThat(ids).containsExactly("id: 1", "id: 2", "id: 3", "id: 4");
        assertThat(received).endsWith(TERMINATOR);
    }
}
