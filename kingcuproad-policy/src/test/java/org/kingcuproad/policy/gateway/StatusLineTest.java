package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against reading a status from a line that is no status line. */
class StatusLineTest {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK",
                "HTTP/1.0 404 Not Found\r",
                "HTTP/1.1 503 ",
                "HTTP/1.1 204",
                "HTTP/1.1 599 \u00e9"
            })
    void acceptsStatusLines(String line) {
        assertThat(StatusLine.isValid(line)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "\r",
                " HTTP/1.1 200 OK",
                "http/1.1 200 OK",
                "HTTP/1.1  200 OK",
                "HTTP/1.1\t200 OK",
                "HTTP/1.1 +200 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 200OK",
                "HTTP/1.1 099 X",
                "HTTP/1.1 000 X",
                "HTTP/1.1 000",
                "HTTP/1.1 600 X",
                "HTTP/1.1 200 O\u0000K",
                "HTTP/1.1 200 OK\r\r",
                "HTTP/2 200",
                "HTTP/9.9 200 OK",
                "GET / HTTP/1.1"
            })
    void rejectsOtherLines(String line) {
        assertThat(StatusLine.isValid(line)).isFalse();
    }
}
