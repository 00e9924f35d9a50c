package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a body that was cut off, or that a second response follows, and that shows it. */
class BodyEndTest {

    private static final String JSON = "application/json";
    private static final String DOCUMENT = "{\"a\": [1, {\"b\": \"}]\\\\\\\"\"}], \"c\": null}";
    private static final String RESPONSE = "HTTP/1.1 500 X\r\nX-Request: r1\r\n\r\nbody";

    private static BodyEnd end(String body, String type) {
        return BodyEnd.of(body.getBytes(StandardCharsets.UTF_8), type, "X-Request");
    }

    @Test
    void tellsEachPartOfAJsonTextFromTheWhole() {
        assertThat(end(DOCUMENT, JSON)).isEqualTo(BodyEnd.WHOLE);
        assertThat(IntStream.range(1, DOCUMENT.length()).mapToObj(length -> end(DOCUMENT.substring(0, length), JSON)))
                .containsOnly(BodyEnd.NOT_WHOLE);
    }

    @ParameterizedTest
    @CsvSource({
        "'', EMPTY",
        "'[]\n', WHOLE",
        "'  ', NOT_WHOLE",
        "'{}x', NOT_WHOLE",
        "'{}{}', NOT_WHOLE",
        "'[}', NOT_WHOLE",
        "12, UNKNOWN",
        "true, UNKNOWN",
        "'\"text\"', UNKNOWN"
    })
    void tellsTheEndOfJsonTexts(String body, BodyEnd expected) {
        assertThat(end(body, JSON)).isEqualTo(expected);
    }

    @Test
    void readsOnlyTheMediaTypesOfJsonAsJson() {
        assertThat(end("{", "text/plain")).isEqualTo(BodyEnd.UNKNOWN);
        assertThat(end("{}", "")).isEqualTo(BodyEnd.UNKNOWN);
    }

    @Test
    void findsASecondResponseAfterAnyBody() {
        assertThat(end("whole body\n" + RESPONSE, "text/plain")).isEqualTo(BodyEnd.NOT_WHOLE);
        assertThat(end("whole body" + RESPONSE, "")).isEqualTo(BodyEnd.NOT_WHOLE);
        assertThat(end("12" + RESPONSE, JSON)).isEqualTo(BodyEnd.NOT_WHOLE);
        assertThat(end("HTTP/1.1 200 X\n\n" + RESPONSE.replace("X-R", "x-r"), "text/plain"))
                .isEqualTo(BodyEnd.NOT_WHOLE);
    }

    /** A log or a manual may contain status lines and heads. */
    @Test
    void acceptsABodyThatQuotesAResponseWithoutARequestId() {
        assertThat(end("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\nX-Request: r1\r\n", "text/plain"))
                .isEqualTo(BodyEnd.UNKNOWN);
        assertThat(end("GET / HTTP/1.1\r\nX-Request: r1\r\n\r\n", "text/plain")).isEqualTo(BodyEnd.UNKNOWN);
    }

    /** Guards against reading the rest of the body again after each status line. */
    @Test
    @Timeout(2)
    void judgesABodyOfManyStatusLinesInATimeThatGrowsWithItsSize() {
        assertThat(end("HTTP/1.1 200 a: b\n".repeat(14_000), "text/plain")).isEqualTo(BodyEnd.UNKNOWN);
    }
}
