package org.kingcuproad.policy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against taking a JSON text that was cut off, or that something follows, for a whole one. */
class JsonDocumentTest {

    private static final String DOCUMENT = " {\"a\": [1, {\"b\": \"}]\\\\\\\"\"}], \"c\": null}";

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void tellsAWholeTextFromAllItsBeginnings() {
        byte[] whole = bytes(DOCUMENT);

        assertThat(JsonDocument.isWhole(whole)).isTrue();
        assertThat(IntStream.range(0, whole.length)
                        .filter(length -> JsonDocument.isWhole(Arrays.copyOf(whole, length))))
                .isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"{}\n", "[]", "[\"\\u007d\"]\r\n"})
    void acceptsWholeTexts(String text) {
        assertThat(JsonDocument.isWhole(bytes(text))).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", " ", "12", "true", "\"text\"", "}", "{]", "{}x", "{}{}", "{\"a\":1}HTTP/1.1 500 X", "\"{}"})
    void rejectsOtherTexts(String text) {
        assertThat(JsonDocument.isWhole(bytes(text))).isFalse();
    }

    @Test
    void knowsTheMediaTypesOfJson() {
        assertThat(JsonDocument.isMediaType("application/json; charset=utf-8")).isTrue();
        assertThat(JsonDocument.isMediaType("Application/Problem+JSON")).isTrue();
        assertThat(JsonDocument.isMediaType("application/x-ndjson")).isFalse();
        assertThat(JsonDocument.isMediaType("")).isFalse();
    }
}
