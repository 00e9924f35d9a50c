package org.kingcuproad.policy.gateway;

import java.util.regex.Pattern;

/** Grammar of the first line of a response. */
public final class StatusLine {

    /** Maximum size of a status line, in bytes. */
    public static final int MAX_BYTES = 4_096;

    /** The reason may be left out, also with the space before it, as many servers do. */
    private static final Pattern GRAMMAR =
            Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}( [\\t\\x20-\\x7E\\x80-\\xFF]*)?\\r?");

    private StatusLine() {}

    /**
     * Returns whether a line begins a response of HTTP/1.
     *
     * @param line the line without its line feed, one character a byte
     * @return {@code true} if it is a status line
     */
    public static boolean isValid(String line) {
        return GRAMMAR.matcher(line).matches();
    }
}
