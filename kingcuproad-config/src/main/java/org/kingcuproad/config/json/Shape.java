package org.kingcuproad.config.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Describes what a value of a file may be. One description serves both the check and the editor's schema. */
public sealed interface Shape permits TextShape, IntegerShape, NumberShape, BooleanShape, ListShape, ObjectShape {

    /**
     * Checks a value.
     *
     * @param value the value as parsed; a missing node if the file has none
     * @param path path of the value
     * @param mistakes receives the mistakes of the value
     * @return the value with defaults filled in; meaningful only if no mistake was added
     */
    JsonNode check(JsonNode value, JsonPath path, Mistakes mistakes);

    /**
     * Returns the JSON schema of the value.
     *
     * @return a new schema object
     */
    ObjectNode schema();

    /**
     * Starts a schema.
     *
     * @param type the JSON type
     * @return a new schema object
     */
    static ObjectNode schemaOfType(String type) {
        return JsonNodeFactory.instance.objectNode().put("type", type);
    }
}
