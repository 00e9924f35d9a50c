package org.kingcuproad.config.json;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Collects the mistakes of one file. */
public final class Mistakes {

    private static final int MAX_FOUND_LENGTH = 80;

    private final List<Mistake> collected = new ArrayList<>();

    /** Creates an empty collection. */
    public Mistakes() {}

    /**
     * Adds a mistake.
     *
     * @param path path of the value
     * @param expected what the value should be
     * @param found what the file has
     */
    public void add(JsonPath path, String expected, String found) {
        collected.add(new Mistake(path.toString(), expected, found));
    }

    /**
     * Tells whether there are no mistakes.
     *
     * @return {@code true} if none was added
     */
    public boolean isEmpty() {
        return collected.isEmpty();
    }

    /**
     * Fails if there are mistakes.
     *
     * @throws DocumentInvalidException if any mistake was added; it lists all of them
     */
    public void throwIfAny() throws DocumentInvalidException {
        if (!collected.isEmpty()) {
            throw new DocumentInvalidException(collected);
        }
    }

    /**
     * Describes a value for a message.
     *
     * @param value the value
     * @return its text, shortened if it is long
     */
    public static String describe(JsonNode value) {
        return switch (value.getNodeType()) {
            case MISSING -> "nothing";
            case OBJECT -> "an object";
            case ARRAY -> "a list of " + value.size();
            default -> shorten(value.toString());
        };
    }

    /**
     * Shortens a text for a message.
     *
     * @param text the text
     * @return the text, cut if it is long
     */
    static String shorten(String text) {
        return text.length() <= MAX_FOUND_LENGTH ? text : text.substring(0, MAX_FOUND_LENGTH) + "...";
    }
}
