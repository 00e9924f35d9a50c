package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against lines of a second response that are taken for those of an event, and against refusing sound events.
 */
class EventLineTest {

    private static boolean isValid(String line) {
        byte[] bytes = ("\n" + line + "\r\n").getBytes(StandardCharsets.UTF_8);
        return EventLine.isValid(bytes, 1, bytes.length - 2);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "id: 7",
                "id:7",
                "data: HTTP/1.1 500 X",
                "data",
                "event: token",
                "retry: 10",
                ":",
                ": HTTP/1.1 500 X",
                "some-weight-versions: 3",
                "\uFEFFid: 1"
            })
    void acceptsLinesOfEvents(String line) {
        assertThat(isValid(line)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 500 X",
                "HTTP/1.0 200 OK: fine",
                "HTTP/2 200",
                "http/1.1 500 x",
                "500 X",
                "X-Request: r1",
                "Content-Length: -2",
                "Transfer-Encoding: chunked",
                "some text"
            })
    void rejectsLinesOfResponsesAndText(String line) {
        assertThat(isValid(line)).isFalse();
    }
}
