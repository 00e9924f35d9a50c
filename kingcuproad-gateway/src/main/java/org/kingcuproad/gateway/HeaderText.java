package org.kingcuproad.gateway;

import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Text in header values, which carry it in UTF-8.
 *
 * <p>The codec of the connections maps each character of a header value to one byte, and one that doesn't fit into a
 * byte to a question mark. Values are therefore passed to it with one character for each byte.
 */
public final class HeaderText {

    private static final char FIRST_PRINTABLE = ' ';
    private static final char DELETE = 0x7f;

    private HeaderText() {}

    /**
     * Encodes a text as a header value.
     *
     * @param text the text
     * @return the value, with one character for each byte, or empty if no header value carries the text unchanged:
     *     control characters aren't allowed, and spaces at either end are removed by receivers
     */
    public static Optional<String> encode(String text) {
        if (!text.equals(text.strip()) || text.chars().anyMatch(HeaderText::isControl)) {
            return Optional.empty();
        }
        if (isAscii(text)) {
            return Optional.of(text);
        }
        return StandardCharsets.UTF_8.newEncoder().canEncode(text)
                ? Optional.of(new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1))
                : Optional.empty();
    }

    /**
     * Decodes a header value.
     *
     * @param value the value, with one character for each byte
     * @return the text, or empty if the value isn't valid UTF-8
     */
    static Optional<String> decode(String value) {
        if (isAscii(value)) {
            return Optional.of(value);
        }
        try {
            return Optional.of(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(StandardCharsets.ISO_8859_1.encode(value))
                    .toString());
        } catch (CharacterCodingException malformed) {
            return Optional.empty();
        }
    }

    private static boolean isAscii(String text) {
        return text.chars().allMatch(character -> character <= DELETE);
    }

    private static boolean isControl(int character) {
        return character < FIRST_PRINTABLE && character != '\t' || character == DELETE;
    }
}
