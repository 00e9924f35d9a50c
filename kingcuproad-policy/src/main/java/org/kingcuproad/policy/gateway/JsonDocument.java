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

    /** The ends of the objects and arrays that have begun, the outermost first. */
    private final StringBuilder closers = new StringBuilder();

    private boolean begun;
    private boolean inString;
    private boolean escaped;
    private boolean ended;

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
        return end(text) == BodyEnd.WHOLE;
    }

    /**
     * Returns what a text shows about its end. Numbers and other texts that are no object and no array show nothing,
     * since their beginnings may be such texts, too.
     *
     * @param text the text, in UTF-8, not empty
     * @return {@link BodyEnd#NOT_WHOLE} if an object or array doesn't end, or if more than white space follows it
     */
    static BodyEnd end(byte[] text) {
        JsonDocument scan = new JsonDocument();
        for (byte next : text) {
            if (scan.inString) {
                scan.readInString(next);
            } else if (!isWhiteSpace(next) && !scan.read(next)) {
                return scan.begun ? BodyEnd.NOT_WHOLE : BodyEnd.UNKNOWN;
            }
        }
        return scan.ended ? BodyEnd.WHOLE : BodyEnd.NOT_WHOLE;
    }

    private void readInString(byte next) {
        inString = escaped || next != '"';
        escaped = !escaped && next == '\\';
    }

    /** Returns whether the text may go on with a character that is in no string. */
    private boolean read(byte next) {
        if (ended || (closers.isEmpty() && next != '{' && next != '[')) {
            return false;
        }
        begun = true;
        switch (next) {
            case '"' -> inString = true;
            case '{' -> closers.append('}');
            case '[' -> closers.append(']');
            case '}', ']' -> {
                return close(next);
            }
            default -> {}
        }
        return true;
    }

    private boolean close(byte closer) {
        int last = closers.length() - 1;
        boolean matches = closers.charAt(last) == closer;
        closers.setLength(last);
        ended = closers.isEmpty();
        return matches;
    }

    private static boolean isWhiteSpace(byte next) {
        return next == ' ' || next == '\n' || next == '\r' || next == '\t';
    }
}
