package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against taking a response that was cut off for a complete one. */
class ResponseEndTest {

    private static final long DEADLINE_MS = 10_000;
    private static final EndedResponse.Events WHOLE = new EndedResponse.Events(true, false, true, true, false);

    private static final FramingHabit.Kind UNKNOWN = FramingHabit.Kind.UNKNOWN;
    private static final FramingHabit.Kind ENDS = FramingHabit.Kind.ENDS_WITH_CONNECTION;
    private static final EndedResponse.Events ENDED_THERE = new EndedResponse.Events(true, false, true, false, true);

    static Stream<Arguments> ends() {
        return Stream.of(
                Arguments.of("last chunk", response(ResponseFraming.CHUNKS, WHOLE), 1_000, "Complete"),
                Arguments.of(
                        "last chunk at the deadline", response(ResponseFraming.CHUNKS, WHOLE), DEADLINE_MS, "Complete"),
                Arguments.of(
                        "last chunk inside an event",
                        response(ResponseFraming.CHUNKS, new EndedResponse.Events(true, true, true, true, false)),
                        1_000,
                        "CutOff"),
                Arguments.of(
                        "last chunk before the first event",
                        response(ResponseFraming.CHUNKS, new EndedResponse.Events(true, false, false, false, false)),
                        1_000,
                        "CutOff"),
                Arguments.of(
                        "last chunk of a stream resumed after its last event",
                        response(ResponseFraming.CHUNKS, new EndedResponse.Events(true, false, true, false, false)),
                        1_000,
                        "Complete"),
                Arguments.of("connection", response(ResponseFraming.CONNECTION, WHOLE), 1_000, "Unconfirmed"),
                Arguments.of(
                        "connection of a response that is no stream",
                        response(ResponseFraming.CONNECTION, EndedResponse.Events.NONE),
                        1_000,
                        "Unconfirmed"),
                Arguments.of(
                        "connection before an event of the resumed stream",
                        response(ResponseFraming.CONNECTION, new EndedResponse.Events(true, false, true, false, false)),
                        1_000,
                        "CutOff"),
                Arguments.of(
                        "connection at the deadline",
                        response(ResponseFraming.CONNECTION, WHOLE),
                        DEADLINE_MS - ResponseEnd.DEADLINE_TOLERANCE_MS,
                        "CutOff"),
                Arguments.of(
                        "connection shortly before the deadline",
                        response(ResponseFraming.CONNECTION, WHOLE),
                        DEADLINE_MS - ResponseEnd.DEADLINE_TOLERANCE_MS - 1,
                        "Unconfirmed"),
                Arguments.of(
                        "connection while the request was written",
                        connection(false, BodyEnd.UNKNOWN, UNKNOWN, false, EndedResponse.Events.NONE),
                        1_000,
                        "CutOff"),
                Arguments.of(
                        "connection before the first byte of the body",
                        connection(true, BodyEnd.EMPTY, UNKNOWN, false, EndedResponse.Events.NONE),
                        1_000,
                        "CutOff"),
                Arguments.of(
                        "connection after a whole document",
                        connection(true, BodyEnd.WHOLE, UNKNOWN, false, EndedResponse.Events.NONE),
                        1_000,
                        "Complete"),
                Arguments.of(
                        "connection after a whole document before the request was read",
                        connection(false, BodyEnd.WHOLE, UNKNOWN, false, EndedResponse.Events.NONE),
                        1_000,
                        "Complete"),
                Arguments.of(
                        "connection within a document of a service that states no ends",
                        connection(true, BodyEnd.NOT_WHOLE, ENDS, false, EndedResponse.Events.NONE),
                        1_000,
                        "CutOff"),
                Arguments.of(
                        "connection of a service that states no ends",
                        connection(true, BodyEnd.UNKNOWN, ENDS, false, EndedResponse.Events.NONE),
                        1_000,
                        "Probable"),
                Arguments.of(
                        "connection of a service that states no ends, at the deadline",
                        connection(true, BodyEnd.UNKNOWN, ENDS, false, EndedResponse.Events.NONE),
                        DEADLINE_MS,
                        "CutOff"),
                Arguments.of(
                        "connection after a rank had crashed",
                        connection(true, BodyEnd.UNKNOWN, UNKNOWN, true, WHOLE),
                        1_000,
                        "CutOff"),
                Arguments.of(
                        "connection where another upstream had ended the stream",
                        connection(true, BodyEnd.EMPTY, UNKNOWN, false, ENDED_THERE),
                        1_000,
                        "Probable"),
                Arguments.of(
                        "connection where another upstream had ended the stream, of a service that states ends",
                        connection(true, BodyEnd.EMPTY, FramingHabit.Kind.STATES_ENDS, false, ENDED_THERE),
                        1_000,
                        "Unconfirmed"),
                Arguments.of(
                        "connection where another upstream had ended the stream, at the deadline",
                        connection(true, BodyEnd.EMPTY, UNKNOWN, false, ENDED_THERE),
                        DEADLINE_MS,
                        "CutOff"),
                Arguments.of(
                        "connection where another upstream had ended the stream, after a rank had crashed",
                        connection(true, BodyEnd.EMPTY, UNKNOWN, true, ENDED_THERE),
                        1_000,
                        "CutOff"),
                Arguments.of(
                        "length of an empty body",
                        new EndedResponse(
                                ResponseFraming.LENGTH,
                                true,
                                BodyEnd.EMPTY,
                                UNKNOWN,
                                false,
                                DEADLINE_MS,
                                EndedResponse.Events.NONE),
                        1_000,
                        "Complete"));
    }

    private static EndedResponse response(ResponseFraming framing, EndedResponse.Events events) {
        return new EndedResponse(framing, true, BodyEnd.UNKNOWN, FramingHabit.Kind.UNKNOWN, false, DEADLINE_MS, events);
    }

    private static EndedResponse connection(
            boolean requestWritten,
            BodyEnd body,
            FramingHabit.Kind habit,
            boolean rankCrashed,
            EndedResponse.Events events) {
        return new EndedResponse(
                ResponseFraming.CONNECTION, requestWritten, body, habit, rankCrashed, DEADLINE_MS, events);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("ends")
    void decidesWhetherAResponseIsComplete(String end, EndedResponse response, long nowMs, String expected) {
        assertThat(ResponseEnd.of(response, nowMs).getClass().getSimpleName())
                .as(end)
                .isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({
        "LISTENING, Complete, Unconfirmed",
        "SILENT, Unconfirmed, Unconfirmed",
        "ENDS_AS_PLANNED, Unconfirmed, Unconfirmed",
        "ENDED, CutOff, CutOff",
        "RANK_CRASHED, CutOff, CutOff"
    })
    void decidesWithWhatIsKnownOfTheUpstreamAfterTheProbe(UpstreamLife life, String probable, String unconfirmed) {
        assertThat(ResponseEnd.ofProbed("evidence", life).getClass().getSimpleName())
                .isEqualTo(probable);
        assertThat(ResponseEnd.ofProbed("", life).getClass().getSimpleName()).isEqualTo(unconfirmed);
    }
}
