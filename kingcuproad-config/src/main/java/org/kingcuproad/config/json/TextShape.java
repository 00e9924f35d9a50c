package org.kingcuproad.config.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.regex.Pattern;

/**
 * A text that matches a pattern.
 *
 * @param pattern what the whole text must match, also valid as a pattern of a JSON schema
 * @param expected what the text should be, for messages
 * @param choices the allowed texts, or an empty list if the pattern alone decides
 * @param confidential whether messages must not repeat the text, because it may be a credential pasted by mistake
 */
public record TextShape(Pattern pattern, String expected, List<String> choices, boolean confidential) implements Shape {

    /** Copies the lists, so that the value is immutable. */
    public TextShape {
        choices = List.copyOf(choices);
    }

    /**
     * Describes a text by a pattern.
     *
     * @param regex what the whole text must match
     * @param expected what the text should be, for messages
     * @return the shape
     */
    public static TextShape matching(String regex, String expected) {
        return new TextShape(Pattern.compile(regex), expected, List.of(), false);
    }

    /**
     * Describes a text by its allowed values.
     *
     * @param choices the allowed texts
     * @return the shape
     */
    public static TextShape oneOf(String... choices) {
        List<String> allowed = List.of(choices);
        return new TextShape(Pattern.compile(".*"), "one of " + String.join(", ", allowed), allowed, false);
    }

    /**
     * Keeps the text out of messages.
     *
     * @return a copy whose messages don't repeat the text
     */
    public TextShape asConfidential() {
        return new TextShape(pattern, expected, choices, true);
    }

    @Override
    public JsonNode check(JsonNode value, JsonPath path, Mistakes mistakes) {
        if (!value.isTextual() || !allows(value.textValue())) {
            mistakes.add(path, expected, found(value));
        }
        return value;
    }

    @Override
    public ObjectNode schema() {
        ObjectNode schema = Shape.schemaOfType("string");
        if (choices.isEmpty()) {
            return schema.put("pattern", "^(" + pattern.pattern() + ")$");
        }
        choices.forEach(schema.withArray("/enum")::add);
        return schema;
    }

    private boolean allows(String text) {
        return choices.isEmpty() ? pattern.matcher(text).matches() : choices.contains(text);
    }

    private String found(JsonNode value) {
        if (confidential && value.isTextual()) {
            return "a text of " + value.textValue().length() + " characters";
        }
        return Mistakes.describe(value);
    }
}
