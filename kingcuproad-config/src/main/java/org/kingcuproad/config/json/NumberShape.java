package org.kingcuproad.config.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A number within a range.
 *
 * @param min smallest allowed value
 * @param max largest allowed value
 */
public record NumberShape(double min, double max) implements Shape {

    @Override
    public JsonNode check(JsonNode value, JsonPath path, Mistakes mistakes) {
        double number = value.isNumber() ? value.doubleValue() : Double.NaN;
        if (!(number >= min && number <= max)) {
            mistakes.add(path, "a number from " + min + " to " + max, Mistakes.describe(value));
        }
        return value;
    }

    @Override
    public ObjectNode schema() {
        return Shape.schemaOfType("number").put("minimum", min).put("maximum", max);
    }
}
