package org.kingcuproad.config.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A list whose elements have one shape.
 *
 * @param element shape of each element
 * @param minSize smallest number of elements
 */
public record ListShape(Shape element, int minSize) implements Shape {

    @Override
    public JsonNode check(JsonNode value, JsonPath path, Mistakes mistakes) {
        if (!value.isArray() || value.size() < minSize) {
            String expected = minSize == 0 ? "a list" : "a list of at least " + minSize;
            mistakes.add(path, expected, Mistakes.describe(value));
            return value;
        }
        ArrayNode checked = JsonNodeFactory.instance.arrayNode();
        boolean changed = false;
        for (int index = 0; index < value.size(); index++) {
            JsonNode checkedElement = element.check(value.get(index), path.element(index), mistakes);
            checked.add(checkedElement);
            changed |= checkedElement != value.get(index);
        }
        return changed ? checked : value;
    }

    @Override
    public ObjectNode schema() {
        ObjectNode schema = Shape.schemaOfType("array");
        schema.set("items", element.schema());
        return minSize == 0 ? schema : schema.put("minItems", minSize);
    }
}
