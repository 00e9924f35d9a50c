package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.RepetitionInfo;
import org.junit.jupiter.api.Test;

/** Guards against incomplete events that are passed on as complete ones. */
class EventStreamParserTest {

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @RepeatedTest(20)
    void parsesSameEventsForAnyChunking(RepetitionInfo repetition) {
        Random random = new Random(repetition.getCurrentRepetition());
        StringBuilder text = new StringBuilder();
        for (int id = 1; id <= 30; id++) {
            String end = id % 2 == 0 ? "\r\n" : "\n";
            text.append("version: 3").append(end).append("id: ").append(id).append(end);
            text.append("data: ")
                    .append("x".repeat(random.nextInt(300)))
                    .append(end)
                    .append(end);
        }
        byte[] stream = bytes(text.toString());
        EventStreamParser parser = new EventStreamParser();
        List<StreamEvent> events = new ArrayList<>();
        for (int offset = 0; offset < stream.length; ) {
            int end = Math.min(stream.length, offset + 1 + random.nextInt(200));
            events.addAll(parser.feed(Arrays.copyOfRange(stream, offset, end)));
            offset = end;
        }

        assertThat(events)
                .extracting(StreamEvent::id)
                .hasSize(30)
                .startsWith(1L, 2L)
                .endsWith(30L);
        assertThat(events.stream().mapToInt(event -> event.bytes().length).sum())
                .isEqualTo(stream.length);
        assertThat(parser.hasPartialEvent()).isFalse();
    }

    @Test
    void buffersIncompleteEvent() {
        EventStreamParser parser = new EventStreamParser();

        assertThat(parser.feed(bytes("id: 1\ndata: a\n\nid: 2\nda"))).hasSize(1);
        assertThat(parser.hasPartialEvent()).isTrue();
    }

    /** Guards against collecting an event without end; the limit is far above the size of any event. */
    @Test
    void reportsAnEventWithoutEnd() {
        EventStreamParser parser = new EventStreamParser();
        byte[] part = new byte[64 << 10];
        Arrays.fill(part, (byte) 'x');

        assertThat(parser.feed(part)).isEmpty();
        assertThat(parser.exceedsMaxSize()).isFalse();
        for (int count = 0; count < 4; count++) {
            parser.feed(part);
        }
        assertThat(parser.exceedsMaxSize()).isTrue();
    }

    /** Guards against taking comments and repeated events for progress of a stream. */
    @Test
    void tellsEventsThatAdvanceAStream() {
        List<StreamEvent> events = new EventStreamParser().feed(bytes(": c\n\nid: 3\ndata: a\n\ndata: b\n\nid: 4\n\n"));

        assertThat(events.stream().map(event -> event.advances(3)).toList()).containsExactly(false, false, true, true);
    }

    /** Guards against a flood of line ends that becomes a flood of events. */
    @Test
    void takesBlankLinesForAPartOfTheNextEvent() {
        EventStreamParser parser = new EventStreamParser();

        assertThat(parser.feed(bytes("\n\r\n\n"))).isEmpty();
        assertThat(parser.hasPartialEvent()).isFalse();
        assertThat(parser.feed(bytes("id: 1\n\n\n"))).singleElement().satisfies(event -> {
            assertThat(event.id()).isEqualTo(1);
            assertThat(event.bytes()).isEqualTo(bytes("\n\r\n\nid: 1\n\n"));
        });
        assertThat(parser.hasPartialEvent()).isFalse();
        assertThat(parser.trailingBytes()).isEqualTo(bytes("\n"));
    }

    @Test
    void reportsLineEndsWithoutEnd() {
        EventStreamParser parser = new EventStreamParser();
        byte[] lineEnds = new byte[EventStreamParser.MAX_EVENT_BYTES];
        Arrays.fill(lineEnds, (byte) '\n');

        assertThat(parser.feed(lineEnds)).isEmpty();
        assertThat(parser.exceedsMaxSize()).isFalse();
        parser.feed(bytes("\n"));
        assertThat(parser.exceedsMaxSize()).isTrue();
    }

    /** Guards against a stream that ends inside a line and is taken for complete. */
    @Test
    void reportsAPartialEventWhoseFirstLineIsIncomplete() {
        EventStreamParser parser = new EventStreamParser();

        parser.feed(bytes("id: 1\n\ni"));
        assertThat(parser.hasPartialEvent()).isTrue();
        assertThat(parser.feed(bytes("d: 2\n"))).isEmpty();
        assertThat(parser.hasPartialEvent()).isTrue();
        assertThat(parser.feed(bytes("\n"))).extracting(StreamEvent::id).containsExactly(2L);
    }

    /** Guards against the head of a second response that becomes an event. */
    @Test
    void returnsNoEventFromTheFirstForeignLineOnOfAStreamWithoutFraming() {
        EventStreamParser parser = new EventStreamParser(ResponseFraming.CONNECTION);

        assertThat(parser.feed(bytes("id: 1\ndata: a\n\nHTTP/1.1 500 X\r\nX-Request: r1\r\n\r\nid: 2\n\n")))
                .extracting(StreamEvent::id)
                .containsExactly(1L);
        assertThat(parser.hasForeignLine()).isTrue();
        assertThat(parser.feed(bytes("id: 3\n\n"))).isEmpty();
    }

    /** Guards against a head that is glued to an event that was cut off. */
    @Test
    void returnsNoEventThatContainsHeaderLines() {
        EventStreamParser parser = new EventStreamParser(ResponseFraming.CONNECTION);

        assertThat(parser.feed(bytes("id: 1\ndata: aHTTP/1.1 500 X\r\n"))).isEmpty();
        assertThat(parser.hasForeignLine()).isFalse();
        assertThat(parser.feed(bytes("X-Request: r1\r\n\r\n"))).isEmpty();
        assertThat(parser.hasForeignLine()).isTrue();
    }

    /** Guards against a stream that is completed although one of its events was passed over. */
    @Test
    void returnsNoEventFromTheFirstOneWithALowerIdOn() {
        EventStreamParser parser = new EventStreamParser();

        assertThat(parser.feed(bytes("id: 1\n\nid: 3\n\nid: 3\n\ndata: none\n\n")))
                .extracting(StreamEvent::id)
                .containsExactly(1L, 3L, 3L, StreamEvent.NO_ID);
        assertThat(parser.outOfOrder()).isFalse();
        assertThat(parser.feed(bytes("id: 2\n\nid: 4\n\n"))).isEmpty();
        assertThat(parser.outOfOrder()).isTrue();
    }

    @Test
    void takesAnyLineOfAFramedStreamForItsOwn() {
        EventStreamParser parser = new EventStreamParser(ResponseFraming.CHUNKS);

        assertThat(parser.feed(bytes("Some text\n\n"))).hasSize(1);
        assertThat(parser.hasForeignLine()).isFalse();
    }
}
