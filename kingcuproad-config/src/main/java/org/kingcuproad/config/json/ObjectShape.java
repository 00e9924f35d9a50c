package org.kingcuproad.config.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.stream.Collectors;

/**
 * An object with a closed list of members.
 *
 * @param fields the members
 */
public record ObjectShape(List<Field> fields) implements Shape {

    /** Copies the list, so that the value is immutable. */
    public ObjectShape {
        fields = List.copyOf(fields);
    }

    /**
     * Describes an object.
     *
     * @param fields the members
     * @return the shape
     */
    public static ObjectShape of(Field... fields) {
        return new ObjectShape(List.of(fields));
    }

    @Override
    public JsonNode check(JsonNode value, String path, Mistakes mistakes) {
        if (!value.isObject()) {
            mistakes.add(path, "an object", Mistakes.describe(value));
            return value;
        }
        value.fieldNames().forEachRemaining(key -> checkKnown(key, path, mistakes));
        ObjectNode checked = JsonNodeFactory.instance.objectNode();
        for (Field field : fields) {
            JsonNode member = value.has(field.name()) ? value.get(field.name()) : field.defaultValue();
            String memberPath = Mistakes.member(path, field.name());
            checked.set(field.name(), field.shape().check(member, memberPath, mistakes));
        }
        return checked;
    }

    @Override
    public ObjectNode schema() {
        ObjectNode schema = Shape.schemaOfType("object");
        ObjectNode properties = schema.putObject("properties");
        for (Field field : fields) {
            ObjectNode property = field.shape().schema().put("description", field.description());
            if (!field.isRequired()) {
                property.set("default", field.defaultValue());
            }
            properties.set(field.name(), property);
        }
        fields.stream().filter(Field::isRequired).map(Field::name).forEach(schema.putArray("required")::add);
        return schema.put("additionalProperties", false);
    }

    private void checkKnown(String key, String path, Mistakes mistakes) {
        if (fields.stream().noneMatch(field -> field.name().equals(key))) {
            String known = fields.stream().map(Field::name).collect(Collectors.joining(", "));
            mistakes.add(Mistakes.member(path, key), "a known key (" + known + ")", "an unknown key");
        }
    }
}
