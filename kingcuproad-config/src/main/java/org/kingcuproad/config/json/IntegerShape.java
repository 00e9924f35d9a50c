package org.kingcuproad.config.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An integer within a range.
 *
 * @param min smallest allowed value
 * @param max largest allowed value
 */
public record IntegerShape(long min, long max) implements Shape {

    @Override
    public JsonNode check(JsonNode value, JsonPath path, Mistakes mistakes) {
        boolean fits = value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= min
                && value.longValue() <= max;
        if (!fits) {
            mistakes.add(path, "an integer from " + min + " to " + max, Mistakes.describe(value));
        }
        return value;
    }

    @Override
    public ObjectNode schema() {
        return Shape.schemaOfType("integer").put("minimum", min).put("maximum", max);
    }
}
