package org.kingcuproad.policy.gateway;

import java.util.Locale;

/**
 * Tells whether bytes are a whole JSON object or array.
 *
 * <p>No beginning of such a text is one itself, so a body that is one was not cut off, whatever its framing.
 */
public final class JsonDocument {

    private static final String MEDIA_TYPE = "application/json";
    private static final String MEDIA_TYPE_SUFFIX = "+json";

    private JsonDocument() {}

    /**
     * Returns whether a media type is one of JSON texts.
     *
     * @param contentType value of the Content-Type header
     * @return {@code true} for {@code application/json} and types that end with {@code +json}
     */
    public static boolean isMediaType(String contentType) {
        String type = contentType.split(";", 2)[0].strip().toLowerCase(Locale.ROOT);
        return type.equals(MEDIA_TYPE) || type.endsWith(MEDIA_TYPE_SUFFIX);
    }

    /**
     * Returns whether a text is whole: the object or array that it begins with ends, and only white space follows. What
     * is inside is not checked further.
     *
     * @param text the text, in UTF-8
     * @return {@code true} if nothing is missing at its end and nothing follows it
     */
    public static boolean isWhole(byte[] text) {
        StringBuilder open = new StringBuilder();
        boolean inString = false;
        boolean ended = false;
        for (int index = 0; index < text.length; index++) {
            byte next = text[index];
            if (inString) {
                if (next == '\\') {
                    index++;
                } else if (next == '"') {
                    inString = false;
                }
            } else if (isWhiteSpace(next)) {
                continue;
            } else if (ended || (open.isEmpty() && next != '{' && next != '[')) {
                return false;
            } else if (next == '"') {
                inString = true;
            } else if (next == '{' || next == '[') {
                open.append((char) (next == '{' ? '}' : ']'));
            } else if (next == '}' || next == ']') {
                int last = open.length() - 1;
                if (open.charAt(last) != next) {
                    return false;
                }
                open.setLength(last);
                ended = open.isEmpty();
            }
        }
        return ended;
    }

    private static boolean isWhiteSpace(byte next) {
        return next == ' ' || next == '\n' || next == '\r' || next == '\t';
    }
}
