package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against taking a response that was cut off for a complete one. */
class ResponseEndTest {

    private static final long DEADLINE_MS = 10_000;
    private static final EndedResponse.Events WHOLE = new EndedResponse.Events(true, false, true, true);

    static Stream<Arguments> ends() {
        return Stream.of(
                Arguments.of("last chunk", response(ResponseFraming.CHUNKS, WHOLE), 1_000, "Complete"),
                Arguments.of(
                        "last chunk at the deadline", response(ResponseFraming.CHUNKS, WHOLE), DEADLINE_MS, "Complete"),
                Arguments.of(
                        "last chunk inside an event",
                        response(ResponseFraming.CHUNKS, new EndedResponse.Events(true, true, true, true)),
                        1_000,
                        "CutOff"),
                Arguments.of(
                        "last chunk before the first event",
                        response(ResponseFraming.CHUNKS, new EndedResponse.Events(true, false, false, false)),
                        1_000,
                        "CutOff"),
                Arguments.of(
                        "last chunk of a stream resumed after its last event",
                        response(ResponseFraming.CHUNKS, new EndedResponse.Events(true, false, true, false)),
                        1_000,
                        "Complete"),
                Arguments.of("connection", response(ResponseFraming.CONNECTION, WHOLE), 1_000, "Unproven"),
                Arguments.of(
                        "connection of a response that is no stream",
                        response(ResponseFraming.CONNECTION, EndedResponse.Events.NONE),
                        1_000,
                        "Unproven"),
                Arguments.of(
                        "connection before an event of the resumed stream",
                        response(ResponseFraming.CONNECTION, new EndedResponse.Events(true, false, true, false)),
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
                        "Unproven"),
                Arguments.of(
                        "connection while the request was written",
                        new EndedResponse(
                                ResponseFraming.CONNECTION, false, true, DEADLINE_MS, EndedResponse.Events.NONE),
                        1_000,
                        "CutOff"),
                Arguments.of(
                        "connection before the first byte of the body",
                        new EndedResponse(
                                ResponseFraming.CONNECTION, true, false, DEADLINE_MS, EndedResponse.Events.NONE),
                        1_000,
                        "CutOff"),
                Arguments.of(
                        "length of an empty body",
                        new EndedResponse(ResponseFraming.LENGTH, true, false, DEADLINE_MS, EndedResponse.Events.NONE),
                        1_000,
                        "Complete"));
    }

    private static EndedResponse response(ResponseFraming framing, EndedResponse.Events events) {
        return new EndedResponse(framing, true, true, DEADLINE_MS, events);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("ends")
    void decidesWhetherAResponseIsComplete(String end, EndedResponse response, long nowMs, String expected) {
        assertThat(ResponseEnd.of(response, nowMs).getClass().getSimpleName())
                .as(end)
                .isEqualTo(expected);
    }
}
