package org.kingcuproad.config.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** A truth value. */
public record BooleanShape() implements Shape {

    @Override
    public JsonNode check(JsonNode value, JsonPath path, Mistakes mistakes) {
        if (!value.isBoolean()) {
            mistakes.add(path, "true or false", Mistakes.describe(value));
        }
        return value;
    }

    @Override
    public ObjectNode schema() {
        return Shape.schemaOfType("boolean");
    }
}
